//! Identifiers.
//!
//! Names chosen by operators are shared strings; everything the system hands out is a number.

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
            /// Wraps a name; cloning the result copies a pointer, not the text.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// The name as text.
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
            /// The number that follows this one.
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
    /// A machine running `elderworks node`, as named in its settings file.
    NodeId
);
name_type!(
    /// A zone: machines that share power and network and may fail together.
    ZoneId
);
name_type!(
    /// A cell: nodes that know each other in detail and keep only digests of other cells. Unique in
    /// the fleet; the empty name is the single cell of a small fleet.
    CellId
);
name_type!(
    /// A customer on whose behalf runs are made. Runs of different tenants never see each other.
    TenantId
);
name_type!(
    /// The name of an operator-created resource, unique within its kind.
    ResourceName
);
name_type!(
    /// One model engine, as named in the `Service` resource that lists it.
    EngineId
);
name_type!(
    /// A model that engines can load.
    ModelName
);
name_type!(
    /// A tool service.
    ToolName
);

number_type!(
    /// A partition of the run space; each has one stream and at most one valid owner.
    PartitionId(u32)
);
number_type!(
    /// Generation of a partition's ownership. Records of an older epoch are void.
    Epoch(u64)
);
number_type!(
    /// Position of a record in one stream of the platform's log.
    Offset(u64)
);
number_type!(
    /// Start count of one named process; a restarted process takes a larger one.
    Incarnation(u64)
);
number_type!(
    /// Number of a record among those of one writer incarnation on one stream, from 1.
    Sequence(u64)
);
number_type!(
    /// Position of a call within its run, from 1, assigned by the caller's side.
    CallNumber(u32)
);
number_type!(
    /// Dispatch count of one call, from 1. Chunks of different attempts are never mixed.
    Attempt(u32)
);

/// A program under way.
///
/// The upper 64 bits name the root run and decide the partition; the lower 64 bits name a sub-agent
/// below that root (0 for the root itself). A whole tree of runs therefore shares one journal, and
/// a parent's allotment to a child is one atomic record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// Names the root of the tree.
    pub root: u64,
    /// Names the sub-agent below the root; 0 is the root itself.
    pub child: u64,
}

impl RunId {
    /// The root run with this number.
    pub const fn root(root: u64) -> Self {
        Self { root, child: 0 }
    }

    /// A sub-agent of the same tree.
    pub const fn child(self, child: u64) -> Self {
        Self {
            root: self.root,
            child,
        }
    }

    /// The partition that journals this run, out of `partition_count`.
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

/// A text that is not a run id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a run id: expected run-<16 hex digits>, optionally followed by -<16 hex digits>")]
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
    /// Text in readable formats, two numbers in binary ones.
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

/// One call of one run. The pair is the key by which answers find their request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The run that made the call.
    pub run: RunId,
    /// The call's position within the run.
    pub number: CallNumber,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.run, self.number)
    }
}
