//! Invalid input from files and datagrams: settings, the data folder, the membership socket.

#[path = "border_support/mod.rs"]
mod border_support;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use border_support::config;
use bytes::Bytes;
use gypsumglade::disk::{Disk, Faults, Options, inspect};
use gypsumglade::membership::{ClusterKey, MembershipSettings, start};
use gypsumglade::settings::{Role, Settings};
use gypsumglade_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use tokio::net::UdpSocket;

fn role() -> impl Strategy<Value = Role> {
    prop_oneof![Just(Role::Entry), Just(Role::Store)]
}

/// Opens a folder with the given files, as a store does.
fn open(files: &[(&str, &[u8])]) -> (bool, bool) {
    let root = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files {
        fs::write(root.path().join(name), bytes).expect("a file");
    }
    let inspected = inspect(root.path()).is_ok_and(|report| report.is_sound());
    let options = Options { vm: VmId(3), segment_bytes: 1 << 20, faults: Faults::default() };
    (inspected, Disk::open(root.path(), options).is_ok())
}

/// Returns the files of a folder that a store has just created.
fn fresh() -> Vec<(String, Vec<u8>)> {
    let root = tempfile::tempdir().expect("a folder");
    let options = Options { vm: VmId(3), segment_bytes: 1 << 20, faults: Faults::default() };
    drop(Disk::open(root.path(), options).expect("a new folder opens"));
    let files = fs::read_dir(root.path()).expect("the folder").flatten();
    let files = files.filter(|file| file.path().is_file()).map(|file| {
        let name = file.file_name().into_string().expect("a plain name");
        (name, fs::read(file.path()).expect("readable"))
    });
    files.collect()
}

proptest! {
    #![proptest_config(config(76, 128))]

    #[test]
    fn parse_survives_any_settings(text in ".{0,200}") {
        let _ = Settings::parse(Path::new("border.yaml"), &text);
    }

    #[test]
    fn parse_survives_bent_settings(
        role in role(),
        at in any::<Index>(),
        length in 0..30_usize,
        text in "[ -~\n]{0,16}",
    ) {
        let mut yaml = Settings::example(role).as_bytes().to_vec();
        let at = at.index(yaml.len());
        let end = (at + length).min(yaml.len());
        yaml.splice(at..end, text.into_bytes());
        let yaml = String::from_utf8_lossy(&yaml);
        if let Err(findings) = Settings::parse(Path::new("border.yaml"), &yaml) {
            prop_assert!(!findings.to_string().is_empty());
        }
    }

    #[test]
    fn open_survives_any_log(bytes in vec(any::<u8>(), 0..200), kept in any::<bool>()) {
        // The log is replaced by another program's file. It is refused, or taken for a torn end if it
        // holds no record; `inspect` must not panic.
        let mut files = if kept { fresh() } else { vec![] };
        files.retain(|(name, _)| name != "log-0000000001");
        files.push(("log-0000000001".to_owned(), bytes));
        let files: Vec<(&str, &[u8])> =
            files.iter().map(|(name, bytes)| (name.as_str(), bytes.as_slice())).collect();
        open(&files);
    }

    #[test]
    fn open_survives_any_file(
        which in any::<Index>(),
        bytes in vec(any::<u8>(), 0..200),
    ) {
        let mut files = fresh();
        let which = which.index(files.len());
        files[which].1 = bytes;
        let files: Vec<(&str, &[u8])> =
            files.iter().map(|(name, bytes)| (name.as_str(), bytes.as_slice())).collect();
        open(&files);
    }
}

#[tokio::test]
async fn datagrams_of_strangers_are_counted_and_dropped() {
    // A host without the cluster's key sends garbage of every length up to one longer than any real
    // datagram. The VM ignores and counts them.
    let key = ClusterKey::new(Bytes::from_static(b"a secret of the cluster"));
    let settings = MembershipSettings { vm: VmId(1), key, ..MembershipSettings::default() };
    let handle = start(settings.clone()).expect("loopback can be bound");
    let bind: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let socket = UdpSocket::bind(bind).await.expect("loopback can be bound");
    let lengths = [0, 1, 31, 32, 33, 64, 400, 1_400, 2_048, 2_049, 9_000];
    for length in lengths {
        let bytes = vec![length as u8; length];
        socket.send_to(&bytes, handle.address()).await.expect("sent");
    }
    // The count is published with the next change of membership.
    let seeds = vec![handle.address()];
    let _friend = start(MembershipSettings { vm: VmId(2), seeds, ..settings }).expect("bound");
    let mut view = handle.watch();
    let joined = view.wait_for(|view| view.members.len() > 1);
    let joined = tokio::time::timeout(Duration::from_secs(30), joined).await;
    let view = joined.expect("the friend joins").expect("membership runs");
    assert_eq!(view.members.len(), 2);
    // An empty datagram looks like a failed receive, so it is dropped without being counted.
    assert_eq!(view.strangers, lengths.len() as u64 - 1);
}
