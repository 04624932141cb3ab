//! Software versions of the workers, and which workers a request may use because of them.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::{Worker, WorkerDirectory};
use crate::peer_loads::WorkerKey;
use crate::stream_versions::history::{VersionCounts, VersionHistory};
use crate::stream_versions::{SoftwareVersion, VersionRule};

impl WorkerDirectory {
    /// Sets the history of software versions, which otherwise begins without any knowledge.
    pub fn with_versions(mut self, versions: VersionHistory) -> Self {
        self.versions = versions;
        self
    }

    /// Sets how long a worker that has announced its end continues streams that no other worker of its
    /// version can; zero for not at all.
    pub fn with_drain_use(mut self, drain_use: Duration) -> Self {
        self.drain_use = drain_use;
        self
    }

    /// Returns the workers of a version that have announced their end a short time ago.
    pub fn leaving<'a>(
        &'a self,
        service: &'a str,
        version: SoftwareVersion,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Worker> {
        self.known(service).filter(move |worker| {
            worker.record.draining
                && worker.software == Some(version)
                && self.may_continue_stream(worker, now)
        })
    }

    /// Returns whether a worker may continue a stream that broke off at it. One that drains may for a part
    /// of its notice.
    pub fn may_continue_stream(&self, worker: &Worker, now: Timestamp) -> bool {
        let since = worker.draining_since.map(|since| now.since(since));
        let may_leave_later =
            worker.missing_until.is_none() && since.is_some_and(|since| since < self.drain_use);
        let is_zone_open = !self.closed_zones.contains(&worker.record.zone);
        self.is_open(worker) || (is_zone_open && may_leave_later)
    }

    /// Returns the software versions of the workers over time.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns the software versions of the workers over time, to record what is listed.
    pub fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }

    /// Returns whether a worker may run a request under a rule.
    pub fn follows(&self, rule: VersionRule, worker: &Worker, now: Timestamp) -> bool {
        match rule {
            VersionRule::Any => true,
            VersionRule::Settled => {
                !self
                    .versions
                    .is_new(&worker.record.service, worker.software, now)
            }
            VersionRule::Only(version) => worker.software == Some(version),
            VersionRule::None => false,
        }
    }

    /// Returns whether a worker of a version accepts requests, is a last resort for them or may still
    /// continue streams.
    pub fn serves_version(&self, service: &str, version: SoftwareVersion, now: Timestamp) -> bool {
        let mut workers = self
            .accepting(service)
            .chain(self.last_resort(service, now));
        workers.any(|worker| worker.software == Some(version))
            || self.leaving(service, version, now).next().is_some()
    }

    /// Records the software version of a worker that a reader has told; returns whether it was
    /// unknown.
    pub fn set_software(&mut self, key: WorkerKey, name: &str) -> bool {
        let unknown = self
            .workers
            .values_mut()
            .find(|worker| worker.key == key && worker.software.is_none());
        let Some(worker) = unknown else {
            return false;
        };
        worker.record.software = Some(name.to_owned());
        worker.software = Some(SoftwareVersion::of(name));
        true
    }

    /// Returns the number of known workers by service and software version.
    pub fn version_counts(&self) -> VersionCounts {
        let mut counts = VersionCounts::new();
        for worker in self.workers.values() {
            let service = worker.record.service.clone();
            let versions = counts.entry(service).or_default();
            *versions.entry(worker.software).or_default() += 1;
        }
        counts
    }

    /// Returns the workers whose software version isn't known.
    pub fn without_software(&self) -> impl Iterator<Item = WorkerKey> {
        let unknown = self
            .workers
            .values()
            .filter(|worker| worker.software.is_none());
        unknown.map(|worker| worker.key)
    }
}
