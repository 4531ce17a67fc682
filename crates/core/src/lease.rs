//! Configuration lease of an entry VM: it takes new work only under a fresh revision.
