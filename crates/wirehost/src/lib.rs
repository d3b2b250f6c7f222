//! The bench's wire: batches of events in, replies out. It hosts one [`Balancer`] for each instance, translates
//! both ways and decides nothing.

#![forbid(unsafe_code)]

mod wire;

use anyhow::{Context, Result, bail};
use base64::{Engine, engine::general_purpose::STANDARD};
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, ListKind, Member, RequestId, ServerId, Span, State, Time, Token,
};
use dunlincleat_engine::Places;
use rustc_hash::FxHashMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{Parts, shortened};

/// The wire numbers its lists from 0 to 15.
const LISTS: usize = 16;

/// An entry of a list, before any instance has numbered its endpoint.
struct Entry {
    endpoint: Box<str>,
    member: Member,
}

/// One instance: its decisions and its own numbering of endpoints, which the wire may name for ever.
struct Instance {
    balancer: Balancer,
    places: Places,
    classes: u32,
}

impl Instance {
    fn known(&self, endpoint: &str) -> Result<ServerId> {
        let id = self.places.known(endpoint);
        id.with_context(|| format!("endpoint '{}' is on no list of this instance", shortened(endpoint)))
    }
}

/// The instances of this process and the reply in the making.
#[derive(Default)]
pub struct Host {
    lists: [Vec<Entry>; LISTS],
    instances: FxHashMap<u64, Instance>,
    now: Time,
    batch: Option<u64>,
    /// The list whose entries are being read, and how many are still to come.
    filling: Option<(usize, usize)>,
    reply: Vec<u8>,
    actions: Vec<Action>,
    members: Vec<Member>,
    load: Vec<f64>,
}

impl Host {
    /// Answers batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<()> {
        let mut line = Vec::new();
        let mut number = 0_u64;
        loop {
            line.clear();
            if input.read_until(b'\n', &mut line)? == 0 {
                break;
            }
            number += 1;
            let bare = line.strip_suffix(b"\n").unwrap_or(&line);
            let text = std::str::from_utf8(bare).with_context(|| format!("line {number} is not UTF-8"))?;
            let done = self.line(text).with_context(|| format!("line {number}: '{}'", shortened(text)))?;
            if done {
                output.write_all(&self.reply)?;
                output.flush()?;
                self.reply.clear();
            }
        }
        if self.batch.is_some() {
            bail!("the input ended within a batch");
        }
        Ok(())
    }

    /// Takes one line; true where it ended a batch and the reply is ready.
    fn line(&mut self, line: &str) -> Result<bool> {
        let mut parts = Parts::new(line);
        let word = parts.text("the message name")?;
        if let Some((list, left)) = self.filling {
            if word != "ENTRY" {
                bail!("{left} entries are missing before '{word}'");
            }
            let entry = read_entry(&mut parts)?;
            self.lists[list].push(entry);
            self.filling = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        let Some(batch) = self.batch else {
            if word != "FRAME" {
                bail!("'{}' outside a batch", shortened(word));
            }
            let now = Time(parts.value("the clock")?);
            if now < self.now {
                bail!("the clock went back");
            }
            self.now = now;
            self.batch = Some(parts.value("the number of the batch")?);
            return Ok(false);
        };
        match word {
            "END" => {
                writeln!(self.reply, "YIELD {batch}")?;
                self.batch = None;
                return Ok(true);
            }
            "DIRECTORY" => {
                let list: usize = parts.value("the list")?;
                let count: usize = parts.value("the number of entries")?;
                let Some(entries) = self.lists.get_mut(list) else { bail!("no list has the number {list}") };
                entries.clear();
                self.filling = (count > 0).then_some((list, count));
            }
            "ENLIST" => {
                let i = parts.value("the instance")?;
                let seed = parts.value("entropy")?;
                let settings = dunlincleat_settings::read(parts.remainder("env")?)?.settings;
                let classes = settings.classes.len() as u32;
                let balancer = Balancer::new(settings, seed);
                let instance = Instance { balancer, places: Places::default(), classes };
                self.instances.insert(i, instance);
            }
            "SHUTDOWN" => {
                let i: u64 = parts.value("the instance")?;
                self.instances.remove(&i).with_context(|| format!("instance {i} was never started"))?;
            }
            _ => self.instance_event(word, &mut parts)?,
        }
        Ok(false)
    }

    fn instance_event(&mut self, word: &str, parts: &mut Parts<'_>) -> Result<()> {
        if !matches!(
            word,
            "REGISTRY"
                | "INBOUND"
                | "WITHDRAWN"
                | "RESPONSE"
                | "TICK_DUE"
                | "PROBE_DONE"
                | "DATAGRAM"
                | "ACK_FIRST"
        ) {
            bail!("unknown message '{}'", shortened(word));
        }
        let i: u64 = parts.value("the instance")?;
        let Some(instance) = self.instances.get_mut(&i) else { bail!("instance {i} was never started") };
        let data;
        let event = match word {
            "REGISTRY" => {
                let list: Option<usize> = parts.maybe("the list")?;
                parts.maybe::<u64>("epoch")?;
                let kind = match parts.text("scope")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Full,
                    "C" => ListKind::Cached,
                    "X" => ListKind::Failed,
                    other => bail!("unknown scope '{}'", shortened(other)),
                };
                self.members.clear();
                if kind != ListKind::Failed {
                    let entries = list.and_then(|l| self.lists.get(l)).context("no such list")?;
                    for entry in entries {
                        let server = instance.places.number(&entry.endpoint);
                        self.members.push(Member { server, ..entry.member });
                    }
                }
                Event::Members { kind, entries: &self.members }
            }
            "INBOUND" => {
                let id = RequestId(parts.value("xid")?);
                let left = parts.span("patience_left")?;
                let key = parts.maybe::<String>("object")?.map(|key| dunlincleat_settings::common_name(&key));
                let hint = parts.maybe::<u64>("work")?.map(Span);
                let class: u32 = parts.value("lane")?;
                let bits = parts.maybe::<u64>("attrs")?.unwrap_or(0);
                let tenant = parts.maybe("client_group")?.unwrap_or(0);
                if class >= instance.classes {
                    bail!("lane {class} is in no settings");
                }
                let hint = hint.filter(|_| bits & 1 != 0);
                Event::Request { id, left, class, tenant, hint, key, repeat: bits & 2 != 0 }
            }
            "WITHDRAWN" => Event::ClientLeft { id: RequestId(parts.value("xid")?) },
            "RESPONSE" => {
                let id = RequestId(parts.value("xid")?);
                let status = parts.status("verdict")?;
                let closed = parts.flag("settled")?;
                let attempt = Attempt(parts.value("shot")?);
                let latency = parts.span("latency")?;
                let server = instance.known(parts.text("endpoint")?)?;
                parts.load("pressure", &mut self.load)?;
                let again = true;
                Event::AttemptFinished {
                    id,
                    attempt,
                    status,
                    request_closed: closed,
                    retry_allowed: again,
                    latency,
                    server,
                    load: &self.load,
                }
            }
            "PROBE_DONE" => {
                let latency = parts.span("latency")?;
                let status = parts.status("verdict")?;
                let server = instance.known(parts.text("endpoint")?)?;
                parts.load("pressure", &mut self.load)?;
                Event::ProbeFinished { server, status, latency, load: &self.load }
            }
            "TICK_DUE" => Event::Timer { token: Token(parts.value("handle")?) },
            "DATAGRAM" => {
                let from = parts.value("from")?;
                let body = parts.maybe::<String>("body")?.unwrap_or_default();
                data = STANDARD.decode(body).context("body is not base64")?;
                Event::Peer { from, data: &data }
            }
            _ => {
                let id = RequestId(parts.value("xid")?);
                instance.known(parts.text("endpoint")?)?;
                parts.span("latency")?;
                Event::ResponseStarted { id, attempt: Attempt(parts.value("shot")?) }
            }
        };
        self.actions.clear();
        let (now, actions) = (self.now, &mut self.actions);
        let outcome = catch_unwind(AssertUnwindSafe(|| instance.balancer.on_event(now, event, actions)));
        if let Err(panic) = outcome {
            let words = panic.downcast_ref::<String>().map(String::as_str);
            let words = words.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the module panicked");
            writeln!(self.reply, "INTERNAL_ERROR {i} {}", words.replace('\n', " "))?;
            return Ok(());
        }
        for action in &self.actions {
            write_action(&mut self.reply, i, instance, action)?;
        }
        Ok(())
    }
}

fn read_entry(parts: &mut Parts<'_>) -> Result<Entry> {
    let born = parts.time("born")?;
    let endpoint: Box<str> = parts.text("endpoint")?.into();
    let member = Member {
        server: ServerId(0),
        started_at: born,
        weight: parts.maybe("scale")?.unwrap_or(0.0),
        zone: parts.maybe("zone")?.unwrap_or(0),
        cell: {
            parts.maybe::<u32>("sku")?;
            parts.maybe("stripe")?.unwrap_or(0)
        },
        state: match parts.text("mode")? {
            "SERVING" => State::Ready,
            "DRAINING" => State::Draining,
            "DELETED" => State::Removed,
            other => bail!("unknown mode '{}'", shortened(other)),
        },
        global_id: dunlincleat_settings::common_name(&endpoint),
    };
    Ok(Entry { endpoint, member })
}

fn write_action(out: &mut Vec<u8>, i: u64, instance: &Instance, action: &Action) -> Result<()> {
    let name = |server: &ServerId| -> Result<&str> {
        let place = instance.places.get(*server).context("the module named an unknown server")?;
        Ok(&place.uid)
    };
    match action {
        Action::Send { id, server, until } => {
            let until = until.map_or(0, |t| t.0);
            writeln!(out, "DISPATCH {i} {} {} {until}", id.0, name(server)?)?;
        }
        Action::Refuse { id, retry_after } => {
            writeln!(out, "SHED {i} {} {}", id.0, retry_after.map_or(0, |s| s.0))?;
        }
        Action::Fail { id } => writeln!(out, "RESPOND_ERROR {i} {}", id.0)?,
        Action::Cancel { id, attempt } => writeln!(out, "ABANDON {i} {} {}", id.0, attempt.0)?,
        Action::Probe { server } => writeln!(out, "INSPECT {i} {}", name(server)?)?,
        Action::Timer { token, delay } => writeln!(out, "DEFER {i} {} {}", token.0, delay.0)?,
        Action::WatchServers => writeln!(out, "TRACK {i} 1")?,
        Action::SendToPeers { peer, data } => {
            let peer = peer.map_or(-1, i64::from);
            writeln!(out, "BROADCAST_TO {i} {peer} {}", STANDARD.encode(data))?;
        }
        Action::Log { server: Some(server), text } => writeln!(out, "SAY_LOG {i} {}: {text}", name(server)?)?,
        Action::Log { server: None, text } => writeln!(out, "SAY_LOG {i} {text}")?,
    }
    Ok(())
}
