//! The elderworks-lab command: comparison, simulation, load and scale experiments.
