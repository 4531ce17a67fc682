//! Log, vote and snapshots of replicas in the data folder.
