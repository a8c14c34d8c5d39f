//! Stand-ins for the outside systems, experiments and process tests.
