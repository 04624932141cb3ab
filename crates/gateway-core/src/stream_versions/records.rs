//! Records of the software versions in use in the platform's log, for the case that all nodes restart.
//!
//! There is one record for each version of a service. It is written when the version appears, before
//! its workers begin streams, and removed once no stream that they began can be resumed.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

use super::history::VersionHistory;
use super::origins::holders;
use super::{SoftwareVersion, StreamKey, service_key};

/// Returns the node that maintains the records, of those that serve callers.
pub fn recorder<'a>(nodes: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    holders(StreamKey::NONE, nodes, 1).pop()
}

/// Identifies the record of one version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionRecord {
    /// Hash of the service's name.
    pub service: u64,
    /// The version.
    pub version: SoftwareVersion,
}

impl VersionRecord {
    /// Returns the record's key in the log.
    pub fn key(self) -> String {
        format!("{:016x}-{:08x}", self.service, self.version.0)
    }

    /// Parses a key written by [`Self::key`].
    pub fn parse(key: &str) -> Option<Self> {
        let (service, version) = key.split_once('-')?;
        Some(Self {
            service: u64::from_str_radix(service, 16).ok()?,
            version: SoftwareVersion(u32::from_str_radix(version, 16).ok()?),
        })
    }
}

/// A change of the records in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Writes a record.
    Write(VersionRecord),
    /// Removes a record.
    Remove(VersionRecord),
}

/// The records as known to the node that maintains them. At first it knows none, and writes those that
/// are needed whether they exist or not; outdated ones are removed once it has read all.
#[derive(Clone, Debug, Default)]
pub struct VersionRecords {
    in_log: BTreeSet<VersionRecord>,
    is_read: bool,
}

impl VersionRecords {
    /// Returns whether the records were read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Adds the records that were read.
    pub fn take_read(&mut self, records: Vec<VersionRecord>) {
        self.in_log.extend(records);
        self.is_read = true;
    }

    /// Records that a change has taken effect.
    pub fn note_done(&mut self, change: RecordChange) {
        match change {
            RecordChange::Write(record) => self.in_log.insert(record),
            RecordChange::Remove(record) => self.in_log.remove(&record),
        };
    }

    /// Returns the changes that the log needs for these services.
    pub fn due<'a>(
        &self,
        services: impl Iterator<Item = &'a str>,
        history: &VersionHistory,
        now: Timestamp,
        lifetime: Duration,
    ) -> Vec<RecordChange> {
        let mut changes = Vec::new();
        for name in services {
            let service = service_key(name);
            let recent = history.recent_versions(name, now, lifetime);
            let record = |version| VersionRecord { service, version };
            let missing = recent.iter().map(|version| record(*version));
            let missing = missing.filter(|record| !self.in_log.contains(record));
            changes.extend(missing.map(RecordChange::Write));
            if !self.is_read || !history.is_complete(name, now, lifetime) {
                continue;
            }
            let of_service = self.in_log.iter().filter(|known| known.service == service);
            let outdated = of_service.filter(|known| !recent.contains(&known.version));
            changes.extend(outdated.map(|record| RecordChange::Remove(*record)));
        }
        changes
    }
}
