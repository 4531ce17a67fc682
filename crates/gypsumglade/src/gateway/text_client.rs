//! Puts texts of kept turns on stores' disks, and fetches them; see docs/design/texts.md.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::{Holding, preferred};
use gypsumglade_core::wire::turn::{Text, TextPut, TextQuery, TextStored, Texts};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::discovery::Discovery;
use crate::rpc::{Method, PeerClients};

/// Wait for a store to put a text on its disk before another one is asked as well.
const PUT_PATIENCE: Duration = Duration::from_millis(200);
/// Wait for a store to give texts before another one is asked as well.
const FETCH_PATIENCE: Duration = Duration::from_millis(200);
/// Silence after which a store is not chosen.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Time for which a store that did not answer is chosen last.
const AVOIDED: Duration = Duration::from_millis(1_500);
/// How much longer than its turn a text is kept before its holder asks about it.
const GRACE: Duration = Duration::from_secs(15);

/// Puts and fetches texts; clones share what they learn.
#[derive(Clone)]
pub(super) struct TextClient {
    discovery: Option<Arc<Discovery>>,
    directory: Arc<Directory>,
    peers: PeerClients,
    region: CompactString,
    copies: usize,
    /// Stores that did not answer lately.
    silent: Arc<Mutex<HashMap<VmId, Instant>>>,
}

impl TextClient {
    /// Creates a client that puts each text on `copies` stores.
    pub(super) fn new(
        discovery: Option<Arc<Discovery>>,
        directory: Arc<Directory>,
        peers: PeerClients,
        region: CompactString,
        copies: usize,
    ) -> TextClient {
        let silent = Arc::default();
        TextClient { discovery, directory, peers, region, copies, silent }
    }

    /// Puts a text on as many stores as must have it, and returns them; nothing if `until` passes first.
    pub(super) async fn put(
        &self,
        program: &str,
        text: Text,
        retention: Duration,
        until: Instant,
    ) -> Option<Vec<VmId>> {
        let retention_ms = u64::try_from((retention + GRACE).as_millis()).unwrap_or(u64::MAX);
        let put = Arc::new(TextPut { texts: vec![text], retention_ms });
        let order = self.preferred(program);
        let copies = self.copies.min(order.len());
        let mut next = order.into_iter();
        let mut putting = JoinSet::new();
        let mut holders = Vec::with_capacity(copies);
        for vm in next.by_ref().take(copies) {
            self.start_put(&mut putting, vm, &put, until);
        }
        let mut hedge = Instant::now() + PUT_PATIENCE;
        while holders.len() < copies && Instant::now() < until {
            tokio::select! {
                stored = putting.join_next(), if !putting.is_empty() => {
                    match stored {
                        Some(Ok((vm, true))) => holders.push(vm),
                        Some(Ok((_, false)) | Err(_)) => {
                            if let Some(vm) = next.next() {
                                self.start_put(&mut putting, vm, &put, until);
                            }
                        }
                        None => {}
                    }
                }
                () = tokio::time::sleep_until(hedge.min(until)) => {
                    let late = copies - holders.len();
                    for vm in next.by_ref().take(late) {
                        self.start_put(&mut putting, vm, &put, until);
                    }
                    hedge = Instant::now() + PUT_PATIENCE;
                }
            }
        }
        // What is still under way may be stored as well; its holder drops it later.
        putting.detach_all();
        (holders.len() == copies && copies > 0).then_some(holders)
    }

    /// Returns the texts of a chain joined, oldest first; nothing if `until` passes first.
    pub(super) async fn fetch(&self, chain: &[Holding], until: Instant) -> Option<Bytes> {
        let mut found: HashMap<String, Text> = HashMap::new();
        let mut asked: HashMap<VmId, usize> = HashMap::new();
        loop {
            let lacking: Vec<&Holding> =
                chain.iter().filter(|holding| !found.contains_key(holding.turn.as_str())).collect();
            if lacking.is_empty() {
                return Some(joined(chain, &found));
            }
            if Instant::now() >= until {
                return None;
            }
            let source = self.source(&lacking, &asked)?;
            *asked.entry(source).or_default() += 1;
            let wanted = lacking.iter().filter(|holding| holding.holders.contains(&source));
            let turns = wanted.map(|holding| holding.turn.to_string()).collect();
            let left = until.saturating_duration_since(Instant::now());
            let patience = FETCH_PATIENCE * u32::try_from(asked[&source]).unwrap_or(1);
            let texts = self.ask_texts(source, turns, left.min(patience)).await;
            found.extend(texts.into_iter().map(|text| (text.turn.clone(), text)));
        }
    }

    /// Returns the store to ask next: one that has most of what is lacking and was asked least.
    fn source(&self, lacking: &[&Holding], asked: &HashMap<VmId, usize>) -> Option<VmId> {
        let mut counts: HashMap<VmId, usize> = HashMap::new();
        for holder in lacking.iter().flat_map(|holding| &holding.holders) {
            *counts.entry(*holder).or_default() += 1;
        }
        let near: Vec<VmId> = self.known().into_iter().map(|store| store.vm).collect();
        let rank = |vm: VmId| near.iter().position(|other| *other == vm).unwrap_or(usize::MAX);
        let stores = counts.into_iter().filter(|(vm, _)| self.directory.store(*vm).is_some());
        let best = stores.min_by_key(|(vm, count)| {
            let tries = asked.get(vm).copied().unwrap_or_default();
            (tries, self.is_silent(*vm), usize::MAX - count, rank(*vm))
        });
        best.map(|(vm, _)| vm)
    }

    async fn ask_texts(&self, source: VmId, turns: Vec<String>, timeout: Duration) -> Vec<Text> {
        let Some(address) = self.directory.store(source) else { return Vec::new() };
        let query = TextQuery { turns };
        let texts = self.peers.ask::<_, Texts>(address, Method::Texts, &query, timeout).await;
        match texts {
            Ok(texts) => {
                self.note(source, true);
                texts.texts
            }
            Err(_) => {
                self.note(source, false);
                Vec::new()
            }
        }
    }

    fn start_put(
        &self,
        putting: &mut JoinSet<(VmId, bool)>,
        vm: VmId,
        put: &Arc<TextPut>,
        until: Instant,
    ) {
        let (client, put) = (self.clone(), Arc::clone(put));
        putting.spawn(async move {
            let Some(address) = client.directory.store(vm) else { return (vm, false) };
            let timeout = until.saturating_duration_since(Instant::now()).min(PUT_TIMEOUT);
            let stored = client.peers.ask(address, Method::PutTexts, put.as_ref(), timeout).await;
            client.note(vm, stored.is_ok());
            (vm, stored.is_ok_and(|stored: TextStored| stored.stored))
        });
    }

    /// Returns stores in the order in which they should hold a program's texts, the silent ones last.
    fn preferred(&self, program: &str) -> Vec<VmId> {
        let mut order = preferred(program, &self.region, &self.known());
        order.sort_by_key(|vm| self.is_silent(*vm));
        order
    }

    fn known(&self) -> Vec<gypsumglade_core::replication::repair::Candidate> {
        let heard = self.discovery.as_ref().map(|discovery| discovery.stores_heard(SILENT_AFTER));
        heard.unwrap_or_default()
    }

    fn is_silent(&self, vm: VmId) -> bool {
        let silent = self.silent.lock().expect("no panic while held");
        silent.get(&vm).is_some_and(|at| at.elapsed() < AVOIDED)
    }

    fn note(&self, vm: VmId, answered: bool) {
        let mut silent = self.silent.lock().expect("no panic while held");
        match answered {
            true => silent.remove(&vm),
            false => silent.insert(vm, Instant::now()),
        };
    }
}

/// Longest wait for one store to put a text on its disk.
const PUT_TIMEOUT: Duration = Duration::from_secs(1);

fn joined(chain: &[Holding], found: &HashMap<String, Text>) -> Bytes {
    let texts = || chain.iter().filter_map(|holding| found.get(holding.turn.as_str()));
    let length = texts().map(|text| text.input.len() + text.output.len()).sum();
    let mut history = BytesMut::with_capacity(length);
    for text in texts() {
        history.extend_from_slice(&text.input);
        history.extend_from_slice(&text.output);
    }
    history.freeze()
}
