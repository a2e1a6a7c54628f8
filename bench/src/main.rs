//! Experiments and load for flamingoscale.

fn main() {}
