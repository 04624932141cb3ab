//! Identifiers.
//!
//! Names chosen by operators are shared strings; identifiers assigned by the system are numbers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from a name. Clones of it share the text.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

name_type!(
    /// The name of a node, as given in its settings file.
    NodeId
);
name_type!(
    /// The name of a zone: machines that share power and network and may fail together.
    ZoneId
);
name_type!(
    /// The name of a cell, unique in the fleet. The nodes of a cell know each other individually and
    /// other cells only by digests. A small fleet has a single cell with an empty name.
    CellId
);
name_type!(
    /// The name of a tenant: a customer whose runs are isolated from those of other tenants.
    TenantId
);
name_type!(
    /// The name of a resource created by an operator, unique within its kind.
    ResourceName
);
name_type!(
    /// The id of a model engine, as given in the `Service` resource that lists it.
    EngineId
);
name_type!(
    /// The name of a model that engines can load.
    ModelName
);
name_type!(
    /// The name of a tool.
    ToolName
);

number_type!(
    /// The number of a partition of the runs. Each partition has one stream and at most one valid owner.
    PartitionId(u32)
);
number_type!(
    /// Generation of a partition's ownership. Records of an older epoch are ignored.
    Epoch(u64)
);
number_type!(
    /// Position of a record in a stream of the platform's log.
    Offset(u64)
);
number_type!(
    /// Identifies one start of a named process; larger for later starts.
    Incarnation(u64)
);
number_type!(
    /// Number of a record among those of one writer incarnation on a stream, from 1.
    Sequence(u64)
);
number_type!(
    /// Position of a call within its run, from 1, assigned by the caller or its sidecar.
    CallNumber(u32)
);
number_type!(
    /// Number of an attempt to execute a call, from 1. Chunks of different attempts are never combined.
    Attempt(u32)
);

/// The id of a run, which is one execution of a program.
///
/// `root` identifies the tree of runs and determines the partition; `child` identifies a sub-agent in
/// that tree. A whole tree therefore shares one journal, and a parent allots budget to a child with a
/// single atomic record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// Id of the tree's root run.
    pub root: u64,
    /// Id of the sub-agent within the tree; 0 for the root run.
    pub child: u64,
}

impl RunId {
    /// Creates the id of a root run.
    pub const fn root(root: u64) -> Self {
        Self { root, child: 0 }
    }

    /// Creates the id of a sub-agent in the same tree.
    pub const fn child(self, child: u64) -> Self {
        Self {
            root: self.root,
            child,
        }
    }

    /// Returns the partition of this run's journal, given the number of partitions.
    pub fn partition(self, partition_count: u32) -> PartitionId {
        let hash = xxhash_rust::xxh3::xxh3_64(&self.root.to_le_bytes());
        PartitionId((hash % u64::from(partition_count.max(1))) as u32)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.child == 0 {
            write!(formatter, "run-{:016x}", self.root)
        } else {
            write!(formatter, "run-{:016x}-{:016x}", self.root, self.child)
        }
    }
}

/// Error returned when a string is not a run id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid run id: expected run-<16 hex digits>, optionally followed by -<16 hex digits>")]
pub struct RunIdError;

impl FromStr for RunId {
    type Err = RunIdError;

    fn from_str(text: &str) -> Result<Self, RunIdError> {
        let digits = text.strip_prefix("run-").ok_or(RunIdError)?;
        let (root, child) = match digits.split_once('-') {
            Some((root, child)) => (root, parse_hex(child)?),
            None => (digits, 0),
        };
        Ok(Self {
            root: parse_hex(root)?,
            child,
        })
    }
}

fn parse_hex(digits: &str) -> Result<u64, RunIdError> {
    let well_formed = digits.len() == 16 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !well_formed {
        return Err(RunIdError);
    }
    u64::from_str_radix(digits, 16).map_err(|_| RunIdError)
}

impl Serialize for RunId {
    /// Serializes as a string in human-readable formats and as two numbers in binary ones.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            (self.root, self.child).serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for RunId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            let (root, child) = <(u64, u64)>::deserialize(deserializer)?;
            Ok(Self { root, child })
        }
    }
}

/// The id of a call. Answers are matched to requests by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The run to which the call belongs.
    pub run: RunId,
    /// The call's position within the run.
    pub number: CallNumber,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.run, self.number)
    }
}
