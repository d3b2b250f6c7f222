//! A first look: the real sidecar between a stand-in application, four stand-in servers and a stand-in list, all on
//! loopback and on ports of the system's choice. One server stalls, one is drained; what happened is told by second, and
//! the rules are audited from outside. Nothing is left running: the sidecar ends with this process.

mod audit;
mod load;
mod stands;

use anyhow::{Context, Result, bail};
use audit::Audit;
use clap::Args;
use load::{Rate, Second};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use stands::{List, Seen, Server};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{interval, timeout};

/// The grace of a drain.
const GRACE: Duration = Duration::from_secs(1);
/// How long a request waits, and what its answer is wanted within.
const WAIT: Duration = Duration::from_millis(740);
const AIM: Duration = Duration::from_millis(300);
/// How long the sidecar may take to begin, and to end.
const PATIENCE: Duration = Duration::from_secs(20);

/// What is wanted of the demo.
#[derive(Args)]
pub struct Wanted {
    /// For how many seconds, from 4 to 600
    #[arg(long, default_value_t = 20)]
    lasts: u64,
    /// Requests a second, from 1 to 2000
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// The sidecar's program; that beside this one where it is not told
    #[arg(long)]
    sidecar: Option<PathBuf>,
    /// What each time limit may be over, in milliseconds: more than the rules' 50 where the machine is busy
    #[arg(long, default_value_t = 50)]
    slack_ms: u64,
    /// The seed of arrivals and of the servers' times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs it; 1 where a rule was broken, 130 where it was ended by hand.
pub fn run(wanted: Wanted) -> Result<ExitCode> {
    if !(4..=600).contains(&wanted.lasts) {
        bail!("--lasts: {} is not from 4 to 600 seconds", wanted.lasts);
    }
    if !(1..=2000).contains(&wanted.rate) {
        bail!("--rate: {} is not from 1 to 2000 requests a second", wanted.rate);
    }
    let program = match &wanted.sidecar {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("dunlincleat-sidecar"),
    };
    if !program.is_file() {
        bail!(
            "--sidecar: {} is no program; `cargo build --release` builds it beside this one",
            program.display()
        );
    }
    actix_rt::System::new().block_on(async move {
        tokio::select! {
            ended = play(&wanted, &program) => ended,
            stopped = told_to_end() => {
                stopped.context("signals")?;
                crate::say("stopped by hand");
                Ok(ExitCode::from(130))
            }
        }
    })
}

/// The first of the signals that end a program: left to themselves all but one would leave the sidecar running.
async fn told_to_end() -> std::io::Result<()> {
    let mut end = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(interrupt), Ok(terminate), Ok(hangup)] = &mut end else {
        return Err(std::io::Error::other("they can't be waited for"));
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}

/// What goes wrong.
#[derive(Clone, Copy)]
enum Trouble {
    Stall,
    Drain,
    Gone,
}

/// The sidecar, as a child that ends when this is dropped.
struct Sidecar {
    child: Child,
    at: SocketAddr,
    log: Lines<BufReader<ChildStderr>>,
}

impl Sidecar {
    async fn start(program: &Path, folder: &Path, list: &List, seed: u64) -> Result<Sidecar> {
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "aim": AIM.as_micros() as u64, "deadline": WAIT.as_micros() as u64, "gain": 1.0,
                "late_worth": 0.5, "semantics": semantics, "group": "all", "window": 5_000_000})
        };
        let config = json!({
            "name": "demo", "listen": "127.0.0.1:0", "discovery": list.at.to_string(), "seed": format!("{seed:016x}"),
            "known": list.whole(),
            "settings": {
                "zones": ["here"], "stats": {"fields": ["inflight", "queue", "util"], "how": "inline"},
                "limits": {"try_limit": 4, "probes": true, "cancel": true, "connect_timeout": 200_000},
                "deductions": {"probe": 0.02},
                "safety": {"drain_grace": GRACE.as_micros() as u64},
                "classes": [class("read", "retryable"), class("pay", "dedup"), class("book", "fragile")],
            },
        });
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).with_context(|| path.display().to_string())?;
        let mut command = Command::new(program);
        for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("EDGE_")) {
            command.env_remove(name);
        }
        let mut child = command
            .env("EDGE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| program.display().to_string())?;
        let Some(stderr) = child.stderr.take() else { bail!("the sidecar has no log") };
        let mut log = BufReader::new(stderr).lines();
        let mut said = Vec::new();
        let found = timeout(PATIENCE, async {
            while let Some(line) = log.next_line().await? {
                if let Some((_, at)) = line.split_once("listening on ") {
                    return Ok(at.trim().parse::<SocketAddr>()?);
                }
                said.push(line);
            }
            bail!("the sidecar ended at once: {}", said.join("; "))
        });
        let at = found.await.context("the sidecar does not serve")??;
        Ok(Sidecar { child, at, log })
    }

    /// Tells it to end, and waits for that.
    async fn end(mut self) -> Result<()> {
        if let Some(id) = self.child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32)) {
            rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        }
        let status = timeout(PATIENCE, self.child.wait()).await.context("the sidecar does not end")??;
        if !status.success() {
            bail!("the sidecar ended with {status}");
        }
        Ok(())
    }
}

async fn play(wanted: &Wanted, program: &Path) -> Result<ExitCode> {
    let slack = wanted.slack_ms * 1000;
    let audit = RefCell::new(Audit::new(GRACE.as_micros() as u64, slack));
    let seen = Rc::new(Seen { start: Instant::now(), audit });
    let mut rng = SmallRng::seed_from_u64(wanted.seed);
    let mut servers = Vec::new();
    for name in ["north", "east", "south", "west"] {
        servers.push(Server::start(name, seen.clone(), rng.random()).await?);
    }
    let list = List::start(&servers, seen.clone()).await?;
    let folder = tempfile::tempdir()?;
    let mut sidecar = Sidecar::start(program, folder.path(), &list, wanted.seed).await?;
    crate::say(&format!(
        "sidecar at {}, servers {}, {} requests a second for {} s",
        sidecar.at,
        servers.iter().map(|s| format!("{} at {}", s.name, s.at)).collect::<Vec<_>>().join(", "),
        wanted.rate,
        wanted.lasts
    ));
    crate::say("  s  asked served refused failed   p50 ms   p99 ms  requests at each server");
    let now = Rc::new(RefCell::new(Second::new()?));
    let rate = Rate { per_s: wanted.rate as f64, lasts: Duration::from_secs(wanted.lasts), wait: WAIT };
    let mut asking =
        actix_rt::spawn(load::ask(sidecar.at, rate, seen.clone(), now.clone(), SmallRng::from_rng(&mut rng)));
    let mut ticks = interval(Duration::from_secs(1));
    ticks.tick().await;
    // What goes wrong, by second: a stall for a fifth of the time, then a drain, then that server is gone.
    let (stall, drain) = (wanted.lasts * 3 / 10, wanted.lasts * 6 / 10);
    let gone = drain + 2;
    let mut ahead = vec![(gone, Trouble::Gone), (drain, Trouble::Drain), (stall, Trouble::Stall)];
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => {}
            ended = &mut asking => {
                ended.context("the application")?;
                break;
            }
            line = sidecar.log.next_line() => {
                if line?.is_none() {
                    bail!("the sidecar ended in the middle of it");
                }
                continue;
            }
        }
        let elapsed = seen.start.elapsed().as_secs();
        let mut notes = Vec::new();
        while let Some((_, what)) = ahead.pop_if(|(at, _)| *at <= elapsed) {
            match what {
                Trouble::Stall => {
                    let lasts = Duration::from_secs((wanted.lasts / 5).max(1));
                    servers[1].stall(lasts);
                    notes.push(format!("  <- east stands still for {} s", lasts.as_secs()));
                }
                Trouble::Drain => {
                    list.tell(&servers[2], "draining");
                    notes.push("  <- south is drained".to_owned());
                }
                Trouble::Gone => {
                    list.tell(&servers[2], "removed");
                    notes.push("  <- south is gone from the list".to_owned());
                }
            }
        }
        let done = std::mem::replace(&mut *now.borrow_mut(), Second::new()?);
        let came =
            servers.iter().map(|s| format!("{} {}", s.name, s.take_came())).collect::<Vec<_>>().join(", ");
        let ms = |q: f64| done.times.value_at_quantile(q) as f64 / 1e3;
        crate::say(&format!(
            "{elapsed:3} {:6} {:6} {:7} {:6} {:8.1} {:8.1}  {came}{}",
            done.asked,
            done.served,
            done.refused,
            done.failed,
            ms(0.5),
            ms(0.99),
            notes.concat()
        ));
        if done.unsent > 0 {
            crate::say(&format!("    {} were not sent: too many were out", done.unsent));
        }
    }
    sidecar.end().await?;
    let audit = seen.audit.borrow();
    let found = audit.found();
    found.iter().take(20).for_each(|fault| crate::say(&format!("BROKEN {fault}")));
    let asked = audit.asked_in_all();
    crate::say(&if found.is_empty() {
        format!("rules kept for {asked} requests: one answer in time, no effect twice, drains kept")
    } else {
        format!("{} rules broken in {asked} requests", found.len())
    });
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
