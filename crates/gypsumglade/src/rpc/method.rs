//! Methods of the calls between processes.

/// Method that one process can call on another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Entry to store: a request to a program group.
    Program,
    /// Entry or operator to store: a command or query to the control group.
    Control,
    /// Entry to store or entry: renews the configuration lease.
    Lease,
    /// Store to entry: frees an ended program's state in an engine.
    Release,
    /// Store to entry: cancels a dispatch of an ended program.
    Cancel,
    /// Store to store: reports on a request that crashes endpoints.
    Score,
    /// Store to entry: the entry VMs according to membership.
    Members,
    /// Entry to entry: an endpoint's announcement.
    Announce,
    /// Any process to a store: announces itself and asks for the other processes.
    Hello,
    /// Entry to store: asks for the announced endpoints.
    Endpoints,
    /// Entry to store: a request to the turn group.
    Turn,
    /// Entry to store: writes texts of turns to its disk.
    PutTexts,
    /// Any process to a store: asks for texts of turns.
    Texts,
    /// Store to store: makes it fetch texts from other stores.
    CopyTexts,
    /// Store to store: asks which turns are still kept.
    KeptTurns,
}

impl Method {
    /// Returns the name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Method::Program => "program",
            Method::Control => "control",
            Method::Lease => "lease",
            Method::Release => "release",
            Method::Cancel => "cancel",
            Method::Score => "score",
            Method::Members => "members",
            Method::Announce => "announce",
            Method::Hello => "hello",
            Method::Endpoints => "endpoints",
            Method::Turn => "turn",
            Method::PutTexts => "put_texts",
            Method::Texts => "texts",
            Method::CopyTexts => "copy_texts",
            Method::KeptTurns => "kept_turns",
        }
    }
}
