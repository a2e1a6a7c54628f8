//! Small stand-ins for the systems that flamingoscale talks to.
