//! Software versions of workers, and which of them began a stream.
//!
//! Workers of several software versions may serve one service at the same time. What two versions
//! generate doesn't fit together, so a stream may continue only at the version that began it. The
//! node that begins a stream tells a few others its version ([`origins`]). A node at which a caller
//! takes a stream up again looks there ([`lookup`]), unless the workers' records prove that a single
//! version was in use ([`history`]). The versions in use are recorded in the log, so that the proof
//! doesn't need a node that survived ([`records`]).

pub mod history;
pub mod lifetime;
pub mod lookup;
pub mod origins;
pub mod records;

use xxhash_rust::xxh3::xxh3_64;

/// Identifies a software version of workers: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(pub u32);

impl SoftwareVersion {
    /// Returns the key of the version with this name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        Self(u32::try_from(hash >> 32).expect("the upper half of 64 bits"))
    }
}

/// Identifies a stream: a hash of the id of the caller's request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of a stream that is not named. No node holds its origin.
    pub const NONE: Self = Self(0);

    /// Returns the key of the stream that a request began.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// The version to which a stream in progress is bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamVersion {
    /// The caller has no event yet, so that any worker may send the first one.
    #[default]
    Open,
    /// A worker of this version sent the first event.
    Bound(SoftwareVersion),
    /// A worker whose version isn't known sent the first event: no other worker may continue.
    Unknown,
}

impl StreamVersion {
    /// Returns the version bound by a first event of a worker.
    pub fn of_first_event(software: Option<SoftwareVersion>) -> Self {
        software.map_or(Self::Unknown, Self::Bound)
    }

    /// Returns which workers may run the stream's request. `may_move` is whether other nodes may have
    /// to resume the stream.
    pub fn rule(self, may_move: bool) -> VersionRule {
        match self {
            Self::Open if may_move => VersionRule::Settled,
            Self::Open => VersionRule::Any,
            Self::Bound(version) => VersionRule::Only(version),
            Self::Unknown => VersionRule::None,
        }
    }
}

/// Which workers may run a request, by their software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any worker.
    Any,
    /// Workers of versions that every node knows of; others only if there are none of these.
    Settled,
    /// Workers of this version.
    Only(SoftwareVersion),
    /// No worker.
    None,
}

/// Identifies a service in messages between nodes: a hash of its name.
pub fn service_key(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

/// The software versions at which streams of a service can have begun, as far as one node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceVersions {
    /// Nothing is known, or some worker's version isn't.
    Unknown,
    /// Only this version was seen, but not for as long as a stream can last.
    Recent(SoftwareVersion),
    /// Only this version was seen for as long as a stream can last, but the records of workers
    /// weren't read lately.
    Stale(SoftwareVersion),
    /// Every stream of the service that can still be resumed began at this version.
    Sole(SoftwareVersion),
    /// Several versions were in use.
    Several,
}

impl ServiceVersions {
    /// Returns the only version that was seen, if it is the only one.
    pub fn only(self) -> Option<SoftwareVersion> {
        match self {
            Self::Recent(version) | Self::Stale(version) | Self::Sole(version) => Some(version),
            Self::Unknown | Self::Several => None,
        }
    }

    /// Returns whether streams that begin now have to be reported to other nodes.
    pub fn needs_reports(self) -> bool {
        !matches!(self, Self::Sole(_) | Self::Stale(_))
    }
}
