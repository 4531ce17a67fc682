//! Replicated log after the published Raft, one value per group and VM, without input or output.
