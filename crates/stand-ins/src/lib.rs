//! (in progress)
