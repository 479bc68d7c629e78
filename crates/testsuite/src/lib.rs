//! Empty library: this package has tests across crates.
