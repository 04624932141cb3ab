//! Command line of `elderworks`.

#![allow(missing_docs, reason = "fields generated from the documented flags")]

use std::path::PathBuf;

use elderworks_settings::Override;

xflags::xflags! {
    /// A scheduler for agent programs.
    cmd elderworks {
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
        /// Check settings files.
        cmd check {
            /// Settings file.
            required file: PathBuf
            /// Further settings files.
            repeated files: PathBuf
        }
        /// Run a sample program of each deployment in one process.
        cmd demo {}
    }
}
