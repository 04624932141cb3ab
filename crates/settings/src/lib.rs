//! Settings files of every process: TOML, checked, with the nearest known key on a mistake.
