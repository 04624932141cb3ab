//! State and processor time of the roles that carry runs, each filled to growing sizes.

pub mod control;
pub mod owner;
pub mod placement;
pub mod sidecar;

use serde::Serialize;

use super::fit::LinearFit;
use super::timing::EventTime;

/// One role filled to one size.
#[derive(Clone, Debug, Serialize)]
pub struct Filled {
    /// The role and what is counted.
    pub role: &'static str,
    /// How many of it are held.
    pub count: usize,
    /// Resident bytes that they take.
    pub resident_bytes: u64,
    /// Bytes that the same state takes encoded, where the role can encode it.
    pub encoded_bytes: Option<u64>,
    /// Processor time by event.
    pub times: Vec<EventTime>,
    /// Records and bytes written to the log, and messages and bytes sent to sidecars.
    pub flows: Flows,
}

/// Every role that was filled, with what it holds.
#[derive(Default)]
pub struct FilledRoles {
    /// Control states.
    pub controls: Vec<(Filled, elderworks_control::Control)>,
    /// Placements.
    pub placements: Vec<(Filled, elderworks_placement::Placement)>,
    /// Sidecars.
    pub sidecars: Vec<(Filled, sidecar::SidecarHarness)>,
    /// Owners of runs.
    pub owners: Vec<(Filled, owner::OwnerHarness)>,
}

impl FilledRoles {
    /// What was measured while they were filled.
    pub fn filled(&self) -> Vec<Filled> {
        let controls = self.controls.iter().map(|(filled, _)| filled);
        let placements = self.placements.iter().map(|(filled, _)| filled);
        let sidecars = self.sidecars.iter().map(|(filled, _)| filled);
        let owners = self.owners.iter().map(|(filled, _)| filled);
        let all = controls.chain(placements).chain(sidecars).chain(owners);
        all.cloned().collect()
    }

    /// The same, with the encoded size of the owners' state.
    pub fn filled_and_encoded(&self) -> Vec<Filled> {
        let mut all = self.filled();
        let first_owner = all.len() - self.owners.len();
        for (filled, (_, owner)) in all[first_owner..].iter_mut().zip(&self.owners) {
            filled.encoded_bytes = Some(owner.encoded_bytes());
        }
        all
    }
}

/// What a role sent while it was filled.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Flows {
    /// Calls made.
    pub calls: u64,
    /// Records appended.
    pub records: u64,
    /// Their bytes, each record in a batch of its own.
    pub record_bytes: u64,
    /// Messages sent to the other side of the call's path.
    pub messages: u64,
    /// Their bytes, framed, without TCP and IP headers.
    pub message_bytes: u64,
}

/// The slope of a role's state.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The role and what is counted.
    pub role: &'static str,
    /// Resident bytes over the count.
    pub resident: LinearFit,
    /// Encoded bytes over the count.
    pub encoded: Option<LinearFit>,
}

/// Slopes of all roles, in order of first appearance.
pub fn slopes(filled: &[Filled]) -> Vec<Slope> {
    let mut roles: Vec<&'static str> = Vec::new();
    for one in filled {
        if !roles.contains(&one.role) {
            roles.push(one.role);
        }
    }
    roles
        .into_iter()
        .filter_map(|role| slope_of(role, filled))
        .collect()
}

fn slope_of(role: &'static str, filled: &[Filled]) -> Option<Slope> {
    let of_role = || filled.iter().filter(|one| one.role == role);
    let resident: Vec<(f64, f64)> = of_role()
        .map(|one| (one.count as f64, one.resident_bytes as f64))
        .collect();
    let encoded: Vec<(f64, f64)> = of_role()
        .filter_map(|one| Some((one.count as f64, one.encoded_bytes? as f64)))
        .collect();
    Some(Slope {
        role,
        resident: LinearFit::through(&resident)?,
        encoded: LinearFit::through(&encoded),
    })
}
