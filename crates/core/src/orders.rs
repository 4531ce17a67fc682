//! Fenced orders to endpoints: loading and dropping model versions.
