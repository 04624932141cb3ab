//! Deterministic simulation of many nodes, sidecars and stand-ins under faults, with checkers.
