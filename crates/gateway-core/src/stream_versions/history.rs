//! Which software versions the workers of each service have had.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_types::Timestamp;

use super::records::VersionRecord;
use super::{ServiceVersions, SoftwareVersion, service_key};

/// Number of workers by service and software version; `None` for workers whose version is unknown.
pub type VersionCounts = BTreeMap<String, BTreeMap<Option<SoftwareVersion>, usize>>;

/// How long workers of a version that was first seen begin no resumable streams if others can. By
/// then every node that reads the workers' records knows that there are two versions.
pub const NEW_VERSION_PAUSE: Duration = Duration::from_secs(1);

/// Maximum age of the last read of the workers' records for which a single version counts as
/// proved. Less than [`NEW_VERSION_PAUSE`], so that no stream of another version can have begun.
const MAX_READ_AGE: Duration = Duration::from_millis(700);

/// Maximum age of a reader's statement for which a single version counts as proved. With [`MAX_READ_AGE`]
/// less than [`NEW_VERSION_PAUSE`], so that no stream of another version can have begun.
const MAX_STATEMENT_AGE: Duration = Duration::from_millis(250);

/// How long a reader's statement on the versions of services is used.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(2);

/// How long a version without workers is remembered. Longer than any stream lasts.
const KEPT: Duration = Duration::from_secs(3_600);

/// When workers of a version were seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Timestamp,
    last: Timestamp,
    is_present: bool,
}

/// The software versions of the workers of each service over time.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<String, BTreeMap<Option<SoftwareVersion>, Seen>>,
    /// Time since which no version in use was missed; `None` if none ever was.
    complete_since: Option<Timestamp>,
    /// When the last read was sent that reached the end of the records.
    read_at: Option<Timestamp>,
    /// Whether only some of the workers are observed, because readers send this node no others.
    is_partial: bool,
    /// What a reader has stated on the versions of services, by [`service_key`], and when.
    stated: BTreeMap<u64, (ServiceVersions, Timestamp)>,
    /// What was recorded in the log before this process started.
    recorded: Option<Recorded>,
    /// Services for which another node has proved that the only version seen here is the only one.
    proved: BTreeSet<String>,
}

/// The versions in use when this process started, as recorded in the log.
#[derive(Clone, Debug)]
struct Recorded {
    read_at: Timestamp,
    services: BTreeMap<u64, BTreeSet<SoftwareVersion>>,
}

impl VersionHistory {
    /// Creates the history of a process that starts at `now` and doesn't know what was in use before.
    pub fn starting(now: Timestamp) -> Self {
        Self {
            complete_since: Some(now),
            ..Self::default()
        }
    }

    /// Records that no node ran before this one, so that no stream can have begun.
    pub fn note_first_start(&mut self) {
        self.complete_since = None;
    }

    /// Takes over the records of the versions that were in use when this process started.
    pub fn take_recorded(&mut self, now: Timestamp, records: &[VersionRecord]) {
        let mut services: BTreeMap<u64, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for record in records {
            let versions = services.entry(record.service).or_default();
            versions.insert(record.version);
        }
        self.recorded = Some(Recorded {
            read_at: now,
            services,
        });
    }

    /// Records that another node has proved a single version of a service. It counts only if this node
    /// has seen no other.
    pub fn note_proved(&mut self, service: &str, version: SoftwareVersion) {
        let seen = self.services.get(service).into_iter().flatten();
        let mut others = seen.filter(|(known, _)| **known != Some(version));
        if others.next().is_none() {
            self.proved.insert(service.to_owned());
        }
    }

    /// Records that versions may have come and gone unseen until now.
    pub fn note_gap(&mut self, now: Timestamp) {
        self.recorded = None;
        self.proved.clear();
        self.complete_since = Some(now);
    }

    /// Records that a read of the workers' records sent at `sent` reached their end.
    pub fn note_read(&mut self, sent: Timestamp) {
        self.read_at = Some(sent);
    }

    /// Records what a reader states on the versions of a service.
    pub fn note_statement(&mut self, now: Timestamp, service: u64, versions: ServiceVersions) {
        self.stated.insert(service, (versions, now));
    }

    /// Records all workers that are listed now. Returns whether a service has got a further version.
    pub fn observe(&mut self, now: Timestamp, counts: &VersionCounts) -> bool {
        self.is_partial = false;
        self.record(now, counts)
    }

    /// Records the workers that readers have sent to this node, which may not be all. Returns whether
    /// a service has got a further version.
    pub fn observe_some(&mut self, now: Timestamp, counts: &VersionCounts) -> bool {
        self.is_partial = true;
        self.record(now, counts)
    }

    /// Returns the services that were observed.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn record(&mut self, now: Timestamp, counts: &VersionCounts) -> bool {
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| seen.is_present || now.since(seen.last) < KEPT);
            for seen in versions.values_mut().filter(|seen| seen.is_present) {
                seen.last = now;
                seen.is_present = false;
            }
        }
        let mut has_further = false;
        for (service, versions) in counts {
            let known = self.services.entry(service.clone()).or_default();
            let mut has_new = false;
            for version in versions.keys() {
                has_new |= note_present(known, *version, now);
            }
            has_further |= has_new && known.len() > 1;
        }
        has_further
    }

    /// Returns the versions at which streams of a service can have begun that last for at most
    /// `lifetime`, with their callers' retries.
    pub fn versions(&self, service: &str, now: Timestamp, lifetime: Duration) -> ServiceVersions {
        let observed = self.observed(service, now, lifetime);
        if !self.is_partial || observed == ServiceVersions::Several {
            return observed;
        }
        let stated = self.stated.get(&service_key(service));
        match stated.filter(|(_, at)| now.since(*at) <= STATEMENT_LIFETIME) {
            Some((stated, at))
                if observed
                    .only()
                    .is_none_or(|seen| stated.only() == Some(seen)) =>
            {
                aged(*stated, now.since(*at))
            }
            Some(_) => ServiceVersions::Several,
            None => observed,
        }
    }

    /// Returns whether the workers' records were read so recently that what they say is hardly older.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.read_at
            .is_some_and(|read| now.since(read) <= MAX_READ_AGE)
    }

    /// Returns the versions that were in use within the last `lifetime`, without unknown ones.
    pub fn recent_versions(
        &self,
        service: &str,
        now: Timestamp,
        lifetime: Duration,
    ) -> BTreeSet<SoftwareVersion> {
        let recent = self.recent(service, now, lifetime);
        recent.into_iter().flatten().collect()
    }

    /// Returns whether no version that was in use within the last `lifetime` can have been missed.
    pub fn is_complete(&self, service: &str, now: Timestamp, lifetime: Duration) -> bool {
        if self.is_partial {
            return false;
        }
        let since_start = self.complete_since.map(|since| now.since(since));
        since_start.is_none_or(|since| since >= lifetime)
            || self.recorded(service).is_some()
            || self.proved.contains(service)
    }

    fn recorded(&self, service: &str) -> Option<&BTreeSet<SoftwareVersion>> {
        let recorded = self.recorded.as_ref()?;
        recorded.services.get(&service_key(service))
    }

    fn observed(&self, service: &str, now: Timestamp, lifetime: Duration) -> ServiceVersions {
        let recent = self.recent(service, now, lifetime);
        let mut recent = recent.iter();
        let version = match (recent.next(), recent.next()) {
            (Some(Some(version)), None) => *version,
            (None, _) | (Some(None), None) => return ServiceVersions::Unknown,
            _ => return ServiceVersions::Several,
        };
        let is_complete = self.is_complete(service, now, lifetime);
        match (is_complete, self.is_fresh(now)) {
            (true, true) => ServiceVersions::Sole(version),
            (true, false) => ServiceVersions::Stale(version),
            (false, _) => ServiceVersions::Recent(version),
        }
    }

    /// Returns whether workers of a version were first seen so recently that other nodes may not
    /// know of them yet, while another version was seen earlier.
    pub fn is_new(&self, service: &str, version: Option<SoftwareVersion>, now: Timestamp) -> bool {
        let Some(versions) = self.services.get(service) else {
            return false;
        };
        let Some(seen) = versions.get(&version) else {
            return false;
        };
        let is_recent = now.since(seen.first) < NEW_VERSION_PAUSE;
        let has_earlier = versions
            .values()
            .any(|other| other.is_present && other.first < seen.first);
        is_recent && has_earlier
    }

    fn recent(
        &self,
        service: &str,
        now: Timestamp,
        lifetime: Duration,
    ) -> BTreeSet<Option<SoftwareVersion>> {
        let versions = self.services.get(service).into_iter().flatten();
        let seen = versions
            .filter(|(_, seen)| seen.is_present || now.since(seen.last) < lifetime)
            .map(|(version, _)| *version);
        let recorded = self.recorded.as_ref();
        let recorded = recorded.filter(|recorded| now.since(recorded.read_at) < lifetime);
        let recorded = recorded.and_then(|recorded| recorded.services.get(&service_key(service)));
        let recorded = recorded.into_iter().flatten().map(|version| Some(*version));
        seen.chain(recorded).collect()
    }
}

/// Returns what a reader's statement says some time after it was made.
fn aged(stated: ServiceVersions, age: Duration) -> ServiceVersions {
    match stated {
        ServiceVersions::Sole(version) if age > MAX_STATEMENT_AGE => {
            ServiceVersions::Stale(version)
        }
        _ => stated,
    }
}

/// Records that a version has workers; returns whether it had none until now.
fn note_present(
    versions: &mut BTreeMap<Option<SoftwareVersion>, Seen>,
    version: Option<SoftwareVersion>,
    now: Timestamp,
) -> bool {
    let known = versions.get(&version);
    // Records may be missing for a moment, as after an outage of the store.
    let continued = known.filter(|seen| now.since(seen.last) <= NEW_VERSION_PAUSE);
    let first = continued.map_or(now, |seen| seen.first);
    let is_new = continued.is_none();
    let seen = Seen {
        first,
        last: now,
        is_present: true,
    };
    versions.insert(version, seen);
    is_new
}
