//! Tests of what counts as evidence that an endpoint is cold.
