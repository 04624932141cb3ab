//! Command line definition of `elderworks`.

#![allow(missing_docs, reason = "fields generated from the documented flags")]

use std::path::PathBuf;

use elderworks_cli::verbs::OutputFormat;
use elderworks_control::api::Collection;
use elderworks_settings::Override;

xflags::xflags! {
    /// A scheduler for agent programs.
    cmd elderworks {
        /// Base URLs of nodes for operators' commands, separated by commas; the first that can be
        /// reached is asked. Otherwise ELDERWORKS_SERVER, or the first node of the examples.
        optional --server urls: String
        /// Token that operators show. Otherwise ELDERWORKS_TOKEN, or none.
        optional --token token: String
        /// Run a node.
        cmd node {
            /// Settings file.
            optional file: PathBuf
            /// KEY=VALUE, laid over the file; may be repeated.
            repeated --set setting: Override
        }
        /// Run a sidecar.
        cmd sidecar {
            /// Settings file.
            optional file: PathBuf
            /// KEY=VALUE, laid over the file; may be repeated.
            repeated --set setting: Override
        }
        /// Run a node on the platform whose settings file the environment names.
        cmd gateway {
            /// KEY=VALUE of the policy, laid over its defaults; may be repeated.
            repeated --set setting: Override
        }
        /// Check settings files.
        cmd check {
            /// Settings file.
            required file: PathBuf
            /// Further settings files.
            repeated files: PathBuf
        }
        /// Create or change the resources of a file.
        cmd apply {
            /// YAML or JSON file; - for standard input; may be repeated.
            repeated -f, --file file: String
            /// How long to try again while no node takes changes, in seconds.
            optional --wait seconds: u64
        }
        /// List resources of a kind, or show one.
        cmd get {
            /// programs, services, budgets, configurations, nodes, engines or runs.
            required kind: Collection
            /// Name of one resource.
            optional name: String
            /// table, json or yaml.
            optional -o, --output format: OutputFormat
        }
        /// Show every field of a resource, and which programs use it.
        cmd describe {
            /// Kind.
            required kind: Collection
            /// Name.
            required name: String
        }
        /// Follow changes, over broken connections too.
        cmd watch {
            /// Kind; every kind that operators write if left out.
            optional kind: Collection
            /// Name of one resource.
            optional name: String
            /// Last revision seen; what is there now is shown first if left out.
            optional --after revision: u64
            /// table, json (one line for each change) or yaml.
            optional -o, --output format: OutputFormat
        }
        /// Delete a resource.
        cmd delete {
            /// Kind.
            required kind: Collection
            /// Name.
            required name: String
            /// Delete only if this is still the revision.
            optional --revision revision: u64
        }
        /// Explain a run (explain run ID) or the configuration keys (explain configuration).
        cmd explain {
            /// run or configuration.
            required subject: Collection
            /// Id of the run.
            optional id: String
            /// table, json or yaml.
            optional -o, --output format: OutputFormat
        }
        /// Explain a request to a gateway from the logs of its nodes.
        cmd explain-request {
            /// Id of the request.
            required id: String
            /// What a node has written to its standard output; may be repeated.
            repeated --log file: PathBuf
        }
        /// Run a sample program of each deployment in one process.
        cmd demo {}
    }
}
