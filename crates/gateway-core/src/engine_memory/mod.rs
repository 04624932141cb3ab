//! What engines keep of prompts: reading it from the engines, telling it to other nodes, and believing
//! it for a while.
//!
//! Few nodes read ([`readers`]): an engine holds few calls for its events. A reader follows an
//! engine's events ([`log`]) at a pace that spares the engine ([`reading`]) and tells the other nodes
//! what has changed of the parts that turns ask for ([`telling`]). What a node knows, from its own
//! reading or from another node's word, is a belief with an age ([`beliefs`]): it never decides whether or
//! where a request runs, only whether its engine takes a part of the prompt from another one
//! ([`fetching`]).

pub mod fetching;
pub mod log;
pub mod readers;
pub mod reading;
pub mod reporting;
pub mod snapshots;
