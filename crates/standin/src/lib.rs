//! Stand-ins for the platform and back ends over HTTP, for tests and experiments.
