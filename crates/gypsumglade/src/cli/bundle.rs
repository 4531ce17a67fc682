//! `gypsumglade bundle`: signs bundles, rolls them out or back, and shows what is in force.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Instant;

use anyhow::Context as _;
use bytes::Bytes;
use gypsumglade_core::bundle::{Bundle, Digest, Findings, RollBackOrder, SignedBundle};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{Accepted, Command};
use gypsumglade_core::wire::operator::Status;

use super::admin_client::{AdminArgs, AdminClient};
use super::failure::FailureKind;
use super::orders::{self, OrderHeader, RollReport, StatusReport};
use super::{Failure, Output, key};
use crate::operator;

/// Interval between status requests while waiting for a revision to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Advice after a lost answer. A new order on the current base could undo what another operator
/// rolled out meanwhile; the same order can't, since its base is checked.
const RESEND_ADVICE: &str = "repeat the command with --order and --base as printed above: \
                                 the same order is not carried out twice";

#[derive(Debug, clap::Subcommand)]
pub(super) enum BundleVerb {
    /// Check a bundle and add an operator's signature.
    Sign {
        /// The bundle's YAML file, or a signed file that needs another signature.
        file: PathBuf,
        /// The operator's private key, from `gypsumglade key new`.
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// File for the signed bundle.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Roll out a signed bundle and wait until it is in force everywhere.
    Roll {
        /// The signed bundle, from `gypsumglade bundle sign`.
        file: PathBuf,
        #[command(flatten)]
        order: OrderArgs,
    },
    /// Roll back to the content of an earlier revision, as a new revision.
    Back {
        /// Earlier revision to return to.
        #[arg(long, value_name = "REVISION")]
        to: u64,
        /// Bundle that was rolled out as that revision, signed or not.
        #[arg(long, value_name = "FILE")]
        bundle: PathBuf,
        /// An operator's private key; repeat the option for each key up to the threshold.
        #[arg(long = "key", value_name = "FILE", required = true)]
        keys: Vec<PathBuf>,
        #[command(flatten)]
        order: OrderArgs,
    },
    /// Show the current revision, and the revision that each VM has confirmed.
    Status {
        #[command(flatten)]
        admin: AdminArgs,
    },
}

/// Arguments of both kinds of order.
#[derive(Debug, clap::Args)]
pub(super) struct OrderArgs {
    /// Revision that the order replaces; without it, the current one.
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
    /// Name of the order; to resend an order, repeat its name and base.
    #[arg(long, value_name = "NAME")]
    order: Option<CompactString>,
    /// Maximum time to wait until the revision is in force everywhere, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    wait: u64,
    #[command(flatten)]
    admin: AdminArgs,
}

pub(super) fn run(verb: BundleVerb, output: Output) -> Result<(), Failure> {
    match verb {
        BundleVerb::Sign { file, key, out } => sign(&file, &key, out, output),
        BundleVerb::Roll { file, order } => roll(&file, &order, output),
        BundleVerb::Back { to, bundle, keys, order } => {
            roll_back(to, &bundle, &keys, &order, output)
        }
        BundleVerb::Status { admin } => {
            let status = status(&AdminClient::new(&admin)?, 0)?;
            output.print(&StatusReport::new(&status))
        }
    }
}

/// Result of `bundle sign`.
#[derive(Serialize)]
struct SignReport {
    file: PathBuf,
    version: CompactString,
    digest: CompactString,
    signatures: usize,
}

impl fmt::Display for SignReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SignReport { file, version, digest, signatures } = self;
        let file = file.display();
        write!(f, "{file}: version {version}, digest {digest}, {signatures} signature(s)")
    }
}

fn sign(file: &Path, key: &Path, out: PathBuf, output: Output) -> Result<(), Failure> {
    let pair = key::read(key)?;
    let mut signed = read(file)?;
    signed.sign(&pair).map_err(|f| findings_failure(file, &f))?;
    let bundle = parse(file, &signed)?;
    let text = serde_json::to_vec(&signed).map_err(anyhow::Error::from)?;
    std::fs::write(&out, text).with_context(|| format!("can't write {}", out.display()))?;
    output.print(&SignReport {
        file: out,
        version: bundle.version,
        digest: hex::encode(signed.digest().0).into(),
        signatures: signed.signatures.len(),
    })
}

fn roll(file: &Path, args: &OrderArgs, output: Output) -> Result<(), Failure> {
    let client = AdminClient::new(&args.admin)?;
    let signed = read(file)?;
    if signed.signatures.is_empty() {
        let message = format!("{} is not signed", file.display());
        let advice = "sign it first: `gypsumglade bundle sign`";
        return Err(Failure::new(FailureKind::Findings, message, advice));
    }
    let header = order_header(&client, args)?;
    let base = RevisionNumber(header.base);
    let command = operator::accept_command(&signed, base, &header.id);
    submit(&client, &command.map_err(|f| findings_failure(file, &f))?, args.wait, output)
}

fn roll_back(
    to: u64,
    file: &Path,
    keys: &[PathBuf],
    args: &OrderArgs,
    output: Output,
) -> Result<(), Failure> {
    let client = AdminClient::new(&args.admin)?;
    let digest = read(file)?.digest();
    let header = order_header(&client, args)?;
    let signatures = sign_roll_back(&header, to, digest, keys)?;
    submit(&client, &orders::roll_back(&header, to, &signatures), args.wait, output)
}

fn sign_roll_back(
    header: &OrderHeader,
    to: u64,
    digest: Digest,
    keys: &[PathBuf],
) -> anyhow::Result<Vec<gypsumglade_core::bundle::Signature>> {
    let order =
        RollBackOrder { base: RevisionNumber(header.base), target: RevisionNumber(to), digest };
    keys.iter().map(|file| Ok(key::read(file)?.sign_roll_back(&order))).collect()
}

/// Returns the order's name and base, and prints them so that the order can be resent.
fn order_header(client: &AdminClient, args: &OrderArgs) -> Result<OrderHeader, Failure> {
    let base = match args.base {
        Some(base) => base,
        None => status(client, 0)?.current,
    };
    let fresh = || hex::encode(rand::random::<[u8; 8]>()).into();
    let id = args.order.clone().unwrap_or_else(fresh);
    eprintln!("order {id} on revision {base}");
    Ok(OrderHeader { id, base })
}

/// Sends an order and waits until its revision is in force.
fn submit(
    client: &AdminClient,
    command: &Command,
    seconds: u64,
    output: Output,
) -> Result<(), Failure> {
    let answer = client.command(command).map_err(|f| f.with_resend_advice(RESEND_ADVICE))?;
    let accepted = orders::outcome(answer)?;
    let report = wait_in_force(client, &accepted, Duration::from_secs(seconds))?;
    output.print(&report)?;
    if report.is_replaced() {
        let message = "this bundle was rolled out earlier and has been replaced since";
        let advice = "roll back to it with `gypsumglade bundle back`, or give it a new version";
        return Err(Failure::new(FailureKind::Refused, message, advice));
    }
    if report.in_force {
        return Ok(());
    }
    let message = "accepted, but not yet in force everywhere";
    let advice = "no action is needed; follow the progress with `gypsumglade bundle status`";
    Err(Failure::new(FailureKind::Pending, message, advice))
}

fn wait_in_force(
    client: &AdminClient,
    accepted: &Accepted,
    timeout: Duration,
) -> Result<RollReport, Failure> {
    let start = Instant::now();
    loop {
        let report = RollReport::new(accepted, &status(client, accepted.revision)?);
        if report.in_force || start.elapsed() >= timeout {
            return Ok(report);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn status(client: &AdminClient, revision: u64) -> Result<Status, Failure> {
    client.get(&format!("/v1/status?revision={revision}"))
}

/// Reads a signed bundle, or an unsigned one as a bundle without signatures.
fn read(file: &Path) -> Result<SignedBundle, Failure> {
    let content = std::fs::read(file).with_context(|| format!("can't read {}", file.display()))?;
    match serde_json::from_slice::<SignedBundle>(&content) {
        Ok(signed) => Ok(signed),
        Err(_) => SignedBundle::new(Bytes::from(content)).map_err(|f| findings_failure(file, &f)),
    }
}

fn parse(file: &Path, signed: &SignedBundle) -> Result<Bundle, Failure> {
    Bundle::parse(&signed.content).map_err(|f| findings_failure(file, &f))
}

fn findings_failure(file: &Path, findings: &Findings) -> Failure {
    let message = format!("{}:\n{findings}", file.display());
    Failure::new(FailureKind::Findings, message, "fix each finding and sign again")
}
