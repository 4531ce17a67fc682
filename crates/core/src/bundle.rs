//! Bundle content as operators write and sign it, and its checks.
