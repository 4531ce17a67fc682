//! VM membership over UDP datagrams.
