//! How a node finds out which version began a stream that a caller takes up again.

use std::time::Duration;

use super::{ServiceVersions, SoftwareVersion};

/// Another node's answer to the question for a stream's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The version, if the node has a copy of the stream's origin.
    pub origin: Option<SoftwareVersion>,
    /// The versions of the stream's service as the node knows them.
    pub versions: ServiceVersions,
}

/// Where a stream's version was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node began the stream, or holds a copy of its origin.
    Own,
    /// Another node holds a copy of its origin.
    Copy,
    /// Only one version was in use.
    SoleVersion,
}

impl OriginSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Copy => "copy",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The version.
    pub version: SoftwareVersion,
    /// Where it was learned.
    pub source: OriginSource,
    /// How long this node has known it, if it was in its own table.
    pub age: Option<Duration>,
}

/// The outcome of a caller's attempt to take a stream up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumptionOutcome {
    /// The stream is bound to a version that has workers.
    Bound(OriginSource),
    /// The version that began the stream has no workers.
    NoWorker,
    /// The version that began the stream can't be determined.
    Unknown,
}

impl ResumptionOutcome {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bound(source) => source.name(),
            Self::NoWorker => "no_worker",
            Self::Unknown => "unknown",
        }
    }
}

/// State of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// The version is known.
    Known(KnownOrigin),
    /// More answers may arrive.
    Wait,
    /// The version can't be determined: the stream must not be resumed.
    Unknown,
}

/// A lookup of one stream's version at other nodes.
#[derive(Clone, Debug)]
pub struct OriginLookup {
    own: ServiceVersions,
    /// Whether there is no other node to ask.
    is_alone: bool,
    /// Number of nodes that haven't answered.
    outstanding: usize,
    /// Number of answers from nodes that have seen workers of the service.
    informed_answers: usize,
    /// The only version that this node and those that answered have seen.
    only: Option<SoftwareVersion>,
    /// Whether a node has ruled out that only one version was in use.
    is_ambiguous: bool,
    /// Whether a node that has watched the workers for long enough confirms [`Self::only`].
    is_confirmed: bool,
    /// Whether such a node has also read the workers' records lately.
    is_read_lately: bool,
}

impl OriginLookup {
    /// Starts a lookup that asks `nodes` other nodes. `own` are the versions of the stream's service
    /// as this node knows them.
    pub fn start(own: ServiceVersions, nodes: usize) -> Self {
        let mut lookup = Self {
            own,
            is_alone: nodes == 0,
            outstanding: nodes,
            informed_answers: 0,
            only: None,
            is_ambiguous: false,
            is_confirmed: false,
            is_read_lately: false,
        };
        lookup.take_versions(own);
        lookup
    }

    /// Returns the state before any answer.
    pub fn first_step(&self) -> LookupStep {
        match self.own {
            ServiceVersions::Sole(version) => known(version, OriginSource::SoleVersion),
            _ if self.outstanding == 0 => self.conclude(),
            _ => LookupStep::Wait,
        }
    }

    /// Handles an answer.
    pub fn on_answer(&mut self, answer: OriginAnswer) -> LookupStep {
        if let Some(version) = answer.origin {
            return known(version, OriginSource::Copy);
        }
        self.informed_answers += usize::from(answer.versions.only().is_some());
        self.outstanding = self.outstanding.saturating_sub(1);
        self.take_versions(answer.versions);
        let is_proved = matches!(answer.versions, ServiceVersions::Sole(_)) && !self.is_ambiguous;
        match is_proved || self.outstanding == 0 {
            true => self.conclude(),
            false => LookupStep::Wait,
        }
    }

    /// Handles the end of the time for answers.
    pub fn on_timeout(&self) -> LookupStep {
        self.conclude()
    }

    fn take_versions(&mut self, versions: ServiceVersions) {
        if versions == ServiceVersions::Several {
            self.is_ambiguous = true;
        }
        let Some(version) = versions.only() else {
            return;
        };
        self.is_ambiguous |= self.only.is_some_and(|only| only != version);
        self.only = Some(version);
        self.is_confirmed |= !matches!(versions, ServiceVersions::Recent(_));
        self.is_read_lately |= matches!(versions, ServiceVersions::Sole(_));
    }

    /// Returns the only version in use if it is proved. Nodes whose reads of the workers' records are late
    /// may all miss a second version, so that without one whose reads are not, all nodes that were asked
    /// have to agree, unless there is none.
    fn conclude(&self) -> LookupStep {
        let do_all_agree = self.outstanding == 0 && (self.informed_answers > 0 || self.is_alone);
        let is_proved = self.is_read_lately || (self.is_confirmed && do_all_agree);
        match self.only.filter(|_| is_proved && !self.is_ambiguous) {
            Some(version) => known(version, OriginSource::SoleVersion),
            None => LookupStep::Unknown,
        }
    }
}

fn known(version: SoftwareVersion, source: OriginSource) -> LookupStep {
    LookupStep::Known(KnownOrigin {
        version,
        source,
        age: None,
    })
}
