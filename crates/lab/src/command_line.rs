//! Command line of `elderworks-lab`.

#![allow(missing_docs, reason = "fields generated from the documented flags")]

use std::path::PathBuf;

use crate::seeds::SeedRange;

xflags::xflags! {
    /// Experiments on elderworks: nothing here runs in production.
    cmd lab-command {
        /// Compare placement policies on a simulated fleet.
        cmd compare {
            /// Workload and fleet: lublin, ulaanbaatar or target.
            required --preset name: String
            /// Loads as shares of the fleet's capacity, separated by commas.
            required --load shares: String
            /// Seeds A..B, B excluded.
            required --seeds range: SeedRange
            /// Only these policies, separated by commas.
            optional --policies names: String
            /// Write the rows as JSON.
            optional --json file: PathBuf
            /// Write plots (SVG) into this folder.
            optional --plot directory: PathBuf
        }
        /// Drive real sidecars with open-loop arrivals.
        cmd load {
            /// Base URL of a sidecar; may be repeated.
            repeated --target url: String
            /// Bearer token.
            optional --token token: String
            /// Program that the runs are of.
            optional --program name: String
            /// Runs started a second.
            optional --rate runs_per_second: f64
            /// Runs in all.
            optional --runs count: usize
            /// Seed of arrivals and prompts.
            optional --seed seed: u64
            /// Write the figures as JSON.
            optional --json file: PathBuf
        }
        /// Run the whole system on a virtual clock under faults, and check every invariant.
        cmd simulate {
            /// Seeds A..B, B excluded.
            required --seeds range: SeedRange
            /// Deployment: lublin or ulaanbaatar.
            optional --preset name: String
            /// `all`, `none`, or names separated by commas.
            optional --faults names: String
            /// Run a deliberately broken variant (builds with the `broken` feature only).
            optional --broken name: String
            /// Write the outcome as JSON.
            optional --json file: PathBuf
        }
    }
}
