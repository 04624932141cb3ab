//! The elderworks command: processes, operator's verbs and the embedded demo.

pub mod verbs;
