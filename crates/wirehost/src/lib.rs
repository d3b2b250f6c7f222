//! The bench's line protocol: batches of events in, replies out. Hosts one [`Balancer`] per instance and translates in
//! both directions; all decisions are the balancer's.

#![forbid(unsafe_code)]

mod wire;

use anyhow::{Context, Result, bail};
use base64::{Engine, engine::general_purpose::STANDARD};
use dunlincleat::Balancer;
use dunlincleat::api::{
    Action, Attempt, Event, ListKind, Member, RequestId, ServerId, Span, State, Time, Token,
};
use dunlincleat_engine::ServerTable;
use rustc_hash::FxHashMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{Fields, truncated};

/// The protocol numbers its lists from 0 to 15.
const LIST_COUNT: usize = 16;

/// Bits of the field `attrs`.
const HINT_VALID: u64 = 1;
const REPEATED: u64 = 2;

/// An entry of a list. The server id of its member is assigned by each instance.
struct Entry {
    endpoint: Box<str>,
    member: Member,
}

/// One instance: its balancer and its numbering of endpoints. Numbers are never released, as the peer may name an
/// endpoint at any later time.
struct Instance {
    balancer: Balancer,
    servers: ServerTable,
    class_count: u32,
}

impl Instance {
    fn server_id(&self, endpoint: &str) -> Result<ServerId> {
        let id = self.servers.id_of(endpoint);
        id.with_context(|| format!("endpoint '{}' is not on any list of this instance", truncated(endpoint)))
    }
}

/// A list with entries still to be received.
#[derive(Clone, Copy)]
struct IncompleteList {
    list: usize,
    remaining: usize,
}

/// The messages that are events of one instance.
#[derive(Clone, Copy)]
enum EventMessage {
    Members,
    Request,
    ClientLeft,
    AttemptFinished,
    Timer,
    ProbeFinished,
    Peer,
    ResponseStarted,
}

impl EventMessage {
    fn from_name(name: &str) -> Option<EventMessage> {
        Some(match name {
            "REGISTRY" => EventMessage::Members,
            "INBOUND" => EventMessage::Request,
            "WITHDRAWN" => EventMessage::ClientLeft,
            "RESPONSE" => EventMessage::AttemptFinished,
            "TICK_DUE" => EventMessage::Timer,
            "PROBE_DONE" => EventMessage::ProbeFinished,
            "DATAGRAM" => EventMessage::Peer,
            "ACK_FIRST" => EventMessage::ResponseStarted,
            _ => return None,
        })
    }
}

/// The instances of this process and the reply to the current batch.
#[derive(Default)]
pub struct Host {
    lists: [Vec<Entry>; LIST_COUNT],
    instances: FxHashMap<u64, Instance>,
    now: Time,
    batch: Option<u64>,
    /// The list whose entries are being received.
    incomplete_list: Option<IncompleteList>,
    reply: Vec<u8>,
    actions: Vec<Action>,
    members: Vec<Member>,
    load: Vec<f64>,
}

impl Host {
    /// Processes batches until the end of the input.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<()> {
        let mut line = Vec::new();
        let mut line_number = 0_u64;
        loop {
            line.clear();
            if input.read_until(b'\n', &mut line)? == 0 {
                break;
            }
            line_number += 1;
            let text = line.strip_suffix(b"\n").unwrap_or(&line);
            let text =
                std::str::from_utf8(text).with_context(|| format!("line {line_number} is not UTF-8"))?;
            let batch_ended = self
                .process_line(text)
                .with_context(|| format!("line {line_number}: '{}'", truncated(text)))?;
            if batch_ended {
                output.write_all(&self.reply)?;
                output.flush()?;
                self.reply.clear();
            }
        }
        if self.batch.is_some() {
            bail!("the input ended within a batch, before END");
        }
        Ok(())
    }

    /// Processes one line; returns true if it ended a batch, with the reply complete.
    fn process_line(&mut self, line: &str) -> Result<bool> {
        let mut fields = Fields::new(line);
        let message = fields.text("the message name")?;
        if let Some(incomplete) = self.incomplete_list {
            self.process_entry(incomplete, message, &mut fields)?;
            return Ok(false);
        }
        let Some(batch) = self.batch else {
            self.start_batch(message, &mut fields)?;
            return Ok(false);
        };
        match message {
            "END" => {
                writeln!(self.reply, "YIELD {batch}")?;
                self.batch = None;
                return Ok(true);
            }
            "DIRECTORY" => self.start_list(&mut fields)?,
            "ENLIST" => self.start_instance(&mut fields)?,
            "SHUTDOWN" => {
                let instance_id: u64 = fields.value("the instance")?;
                self.instances
                    .remove(&instance_id)
                    .with_context(|| format!("instance {instance_id} is not running"))?;
            }
            _ => self.process_event(message, &mut fields)?,
        }
        Ok(false)
    }

    fn process_entry(
        &mut self,
        incomplete: IncompleteList,
        message: &str,
        fields: &mut Fields<'_>,
    ) -> Result<()> {
        let IncompleteList { list, remaining } = incomplete;
        if message != "ENTRY" {
            bail!("{remaining} entries are missing before message '{message}'");
        }
        let entry = read_entry(fields)?;
        self.lists[list].push(entry);
        self.incomplete_list = (remaining > 1).then_some(IncompleteList { list, remaining: remaining - 1 });
        Ok(())
    }

    fn start_batch(&mut self, message: &str, fields: &mut Fields<'_>) -> Result<()> {
        if message != "FRAME" {
            bail!("message '{}' outside a batch; expected FRAME", truncated(message));
        }
        let now = Time(fields.value("the clock")?);
        if now < self.now {
            bail!("the clock went back from {} to {} us", self.now.0, now.0);
        }
        self.now = now;
        self.batch = Some(fields.value("the number of the batch")?);
        Ok(())
    }

    fn start_list(&mut self, fields: &mut Fields<'_>) -> Result<()> {
        let list: usize = fields.value("the list")?;
        let count: usize = fields.value("the number of entries")?;
        let Some(entries) = self.lists.get_mut(list) else {
            bail!("list number {list} is out of range: 0 to {}", LIST_COUNT - 1)
        };
        entries.clear();
        self.incomplete_list = (count > 0).then_some(IncompleteList { list, remaining: count });
        Ok(())
    }

    fn start_instance(&mut self, fields: &mut Fields<'_>) -> Result<()> {
        let instance_id = fields.value("the instance")?;
        let seed = fields.value("entropy")?;
        let settings = dunlincleat_settings::read(fields.remainder("env")?)?.settings;
        let class_count = settings.classes.len() as u32;
        let balancer = Balancer::new(settings, seed);
        let instance = Instance { balancer, servers: ServerTable::default(), class_count };
        self.instances.insert(instance_id, instance);
        Ok(())
    }

    fn process_event(&mut self, message: &str, fields: &mut Fields<'_>) -> Result<()> {
        let Some(kind) = EventMessage::from_name(message) else {
            bail!("unknown message '{}'", truncated(message));
        };
        let instance_id: u64 = fields.value("the instance")?;
        let Some(instance) = self.instances.get_mut(&instance_id) else {
            bail!("instance {instance_id} is not running");
        };
        let data;
        let event = match kind {
            EventMessage::Members => read_members(fields, instance, &self.lists, &mut self.members)?,
            EventMessage::Request => read_request(fields, instance.class_count)?,
            EventMessage::ClientLeft => Event::ClientLeft { id: RequestId(fields.value("xid")?) },
            EventMessage::AttemptFinished => read_attempt_finished(fields, instance, &mut self.load)?,
            EventMessage::Timer => Event::Timer { token: Token(fields.value("handle")?) },
            EventMessage::ProbeFinished => read_probe_finished(fields, instance, &mut self.load)?,
            EventMessage::Peer => {
                let from = fields.value("from")?;
                let body = fields.optional::<String>("body")?.unwrap_or_default();
                data = STANDARD.decode(body).context("body is not valid base64")?;
                Event::Peer { from, data: &data }
            }
            EventMessage::ResponseStarted => {
                let id = RequestId(fields.value("xid")?);
                instance.server_id(fields.text("endpoint")?)?;
                fields.duration("latency")?;
                Event::ResponseStarted { id, attempt: Attempt(fields.value("shot")?) }
            }
        };
        self.actions.clear();
        let now = self.now;
        let actions = &mut self.actions;
        let outcome = catch_unwind(AssertUnwindSafe(|| instance.balancer.on_event(now, event, actions)));
        if let Err(panic) = outcome {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("the module panicked");
            writeln!(self.reply, "INTERNAL_ERROR {instance_id} {}", text.replace('\n', " "))?;
            return Ok(());
        }
        for action in &self.actions {
            write_action(&mut self.reply, instance_id, instance, action)?;
        }
        Ok(())
    }
}

fn read_members<'a>(
    fields: &mut Fields<'_>,
    instance: &mut Instance,
    lists: &[Vec<Entry>; LIST_COUNT],
    members: &'a mut Vec<Member>,
) -> Result<Event<'a>> {
    let list: Option<usize> = fields.optional("the list")?;
    fields.optional::<u64>("epoch")?;
    let kind = match fields.text("scope")? {
        "D" => ListKind::Changes,
        "F" => ListKind::Full,
        "C" => ListKind::Cached,
        "X" => ListKind::Failed,
        other => bail!("unknown scope '{}'", truncated(other)),
    };
    members.clear();
    if kind != ListKind::Failed {
        let entries =
            list.and_then(|list| lists.get(list)).context("the list number is missing or out of range")?;
        for entry in entries {
            let server = instance.servers.id_or_assign(&entry.endpoint);
            members.push(Member { server, ..entry.member });
        }
    }
    Ok(Event::Members { kind, entries: members })
}

fn read_request(fields: &mut Fields<'_>, class_count: u32) -> Result<Event<'static>> {
    let id = RequestId(fields.value("xid")?);
    let left = fields.duration("patience_left")?;
    let key = fields.optional::<String>("object")?.map(|key| dunlincleat_settings::global_id(&key));
    let hint = fields.optional::<u64>("work")?.map(Span);
    let class: u32 = fields.value("lane")?;
    let attributes = fields.optional::<u64>("attrs")?.unwrap_or(0);
    let tenant = fields.optional("client_group")?.unwrap_or(0);
    if class >= class_count {
        bail!("lane {class} is not a class of the settings");
    }
    let hint = hint.filter(|_| attributes & HINT_VALID != 0);
    let repeat = attributes & REPEATED != 0;
    Ok(Event::Request { id, left, class, tenant, hint, key, repeat })
}

fn read_attempt_finished<'a>(
    fields: &mut Fields<'_>,
    instance: &Instance,
    load: &'a mut Vec<f64>,
) -> Result<Event<'a>> {
    let id = RequestId(fields.value("xid")?);
    let status = fields.status("verdict")?;
    let request_closed = fields.boolean("settled")?;
    let attempt = Attempt(fields.value("shot")?);
    let latency = fields.duration("latency")?;
    let server = instance.server_id(fields.text("endpoint")?)?;
    fields.load_report("pressure", load)?;
    Ok(Event::AttemptFinished {
        id,
        attempt,
        status,
        request_closed,
        retry_allowed: true,
        latency,
        server,
        load,
    })
}

fn read_probe_finished<'a>(
    fields: &mut Fields<'_>,
    instance: &Instance,
    load: &'a mut Vec<f64>,
) -> Result<Event<'a>> {
    let latency = fields.duration("latency")?;
    let status = fields.status("verdict")?;
    let server = instance.server_id(fields.text("endpoint")?)?;
    fields.load_report("pressure", load)?;
    Ok(Event::ProbeFinished { server, status, latency, load })
}

fn read_entry(fields: &mut Fields<'_>) -> Result<Entry> {
    let started_at = fields.time("born")?;
    let endpoint: Box<str> = fields.text("endpoint")?.into();
    let member = Member {
        server: ServerId(0),
        started_at,
        weight: fields.optional("scale")?.unwrap_or(0.0),
        zone: fields.optional("zone")?.unwrap_or(0),
        cell: {
            fields.optional::<u32>("sku")?;
            fields.optional("stripe")?.unwrap_or(0)
        },
        state: match fields.text("mode")? {
            "SERVING" => State::Ready,
            "DRAINING" => State::Draining,
            "DELETED" => State::Removed,
            other => bail!("unknown mode '{}'", truncated(other)),
        },
        global_id: dunlincleat_settings::global_id(&endpoint),
    };
    Ok(Entry { endpoint, member })
}

fn write_action(out: &mut Vec<u8>, instance_id: u64, instance: &Instance, action: &Action) -> Result<()> {
    let endpoint = |server: &ServerId| -> Result<&str> {
        let known = instance.servers.get(*server).context("the decision module named an unknown server")?;
        Ok(&known.uid)
    };
    match action {
        Action::Send { id, server, until } => {
            let until = until.map_or(0, |until| until.0);
            writeln!(out, "DISPATCH {instance_id} {} {} {until}", id.0, endpoint(server)?)?;
        }
        Action::Refuse { id, retry_after } => {
            writeln!(out, "SHED {instance_id} {} {}", id.0, retry_after.map_or(0, |delay| delay.0))?;
        }
        Action::Fail { id } => writeln!(out, "RESPOND_ERROR {instance_id} {}", id.0)?,
        Action::Cancel { id, attempt } => writeln!(out, "ABANDON {instance_id} {} {}", id.0, attempt.0)?,
        Action::Probe { server } => writeln!(out, "INSPECT {instance_id} {}", endpoint(server)?)?,
        Action::Timer { token, delay } => writeln!(out, "DEFER {instance_id} {} {}", token.0, delay.0)?,
        Action::WatchServers => writeln!(out, "TRACK {instance_id} 1")?,
        Action::SendToPeers { peer, data } => {
            let peer = peer.map_or(-1, i64::from);
            writeln!(out, "BROADCAST_TO {instance_id} {peer} {}", STANDARD.encode(data))?;
        }
        Action::Log { server: Some(server), text } => {
            writeln!(out, "SAY_LOG {instance_id} {}: {text}", endpoint(server)?)?
        }
        Action::Log { server: None, text } => writeln!(out, "SAY_LOG {instance_id} {text}")?,
    }
    Ok(())
}
