//! The operators' console: a listener on a thread of its own, so that nothing on the serving thread delays a reply. It
//! reads the metrics and the stage, and sends commands through the handles on lifecycle and duties; it knows no HTTP.

#![forbid(unsafe_code)]

mod line;

use anyhow::{Context, Result};
use dunlincleat_status::duty_control::{DutyCommand, DutyControl};
use dunlincleat_status::lifecycle::Event;
use dunlincleat_status::{Lifecycle, LogLimiter, Metrics, log_limited};
use line::{Call, ParsedCall, parse};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Maximum number of open connections; at the limit, the oldest without a complete call is closed.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit for receiving a call: shorter than clients that send nothing stay connected.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for writing a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for reading and discarding what a client sends after its call.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Binds the console's listener.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(at: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(at).with_context(|| format!("'{at}' can't be listened on"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves calls on a thread of its own until the process exits.
///
/// # Errors
///
/// The thread can't be started.
pub fn start(
    listener: TcpListener,
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<Metrics>,
    duty_control: Arc<DutyControl>,
) -> Result<()> {
    duty_control.attach_reader();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("console runtime")?;
    let serve = move || {
        let console =
            Rc::new(Console { lifecycle, metrics, duty_control, invalid_calls: LogLimiter::default() });
        if let Err(error) = LocalSet::new().block_on(&runtime, serve(listener, console)) {
            tracing::error!("console stopped: {error:#}");
        }
    };
    std::thread::Builder::new().name("console".to_owned()).spawn(serve).context("console thread")?;
    Ok(())
}

struct Console {
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<Metrics>,
    duty_control: Arc<DutyControl>,
    /// Limits the log line for invalid calls.
    invalid_calls: LogLimiter,
}

/// An open connection.
struct Connection {
    call_received: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn serve(listener: TcpListener, console: Rc<Console>) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut connections: VecDeque<Connection> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::error!("console: cannot accept a connection: {error}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.task.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            let waiting = connections.iter().position(|connection| !connection.call_received.get());
            if let Some(connection) = connections.remove(waiting.unwrap_or(0)) {
                connection.task.abort();
            }
        }
        let call_received = Rc::new(Cell::new(false));
        let (console, received) = (console.clone(), call_received.clone());
        let task = spawn_local(async move {
            if let Err(error) = handle_connection(stream, &console, &received).await {
                tracing::debug!("console: {error}");
            }
        });
        connections.push_back(Connection { call_received, task: task.abort_handle() });
    }
}

/// Reads one call and writes its reply.
async fn handle_connection(
    mut stream: TcpStream,
    console: &Console,
    call_received: &Cell<bool>,
) -> std::io::Result<()> {
    let parsed = timeout(CALL_TIMEOUT, read_call(&mut stream))
        .await
        .unwrap_or(Ok(ParsedCall::Invalid("the call did not end in time")))?;
    call_received.set(true);
    let reply = match parsed {
        ParsedCall::Complete(call) => console.reply(call),
        ParsedCall::Incomplete => return Ok(()),
        ParsedCall::Invalid(reason) => {
            let line = format!("console: {reason}");
            log_limited!(console.invalid_calls, info, line);
            format!("NO {reason}\n")
        }
    };
    let _ = timeout(REPLY_TIMEOUT, async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
    // Closing a socket with unread data resets it, and the client could lose the reply.
    let _ = timeout(DISCARD_TIMEOUT, async {
        while stream.read(&mut [0; 512]).await? > 0 {}
        std::io::Result::Ok(())
    })
    .await;
    Ok(())
}

/// Reads until a call is complete or invalid; incomplete if the client disconnected before.
async fn read_call(stream: &mut TcpStream) -> std::io::Result<ParsedCall> {
    let (mut bytes, mut len) = ([0; line::MAX_CALL_BYTES], 0);
    loop {
        let received = stream.read(&mut bytes[len..]).await?;
        len += received;
        let parsed = parse(&bytes[..len]);
        if received == 0 && parsed == ParsedCall::Incomplete && len > 0 {
            return Ok(ParsedCall::Invalid("the call has no line end"));
        }
        if received == 0 || parsed != ParsedCall::Incomplete {
            return Ok(parsed);
        }
    }
}

impl Console {
    fn reply(&self, call: Call) -> String {
        let apply = |event: Event| {
            tracing::info!("console: received {}", if event == Event::Active { "active" } else { "standby" });
            self.lifecycle.apply(event)
        };
        match call {
            Call::Status => {
                let stage = self.lifecycle.stage();
                format!("{} {stage}\n", if stage.is_ready() { "YES" } else { "NO" })
            }
            Call::Stats => self.metrics.render() + "END\n",
            Call::Duties => self.duty_control.status() + "\nEND\n",
            Call::HandOver { duty, successor } => {
                tracing::info!(
                    "console: received hand: duty {duty} to {}",
                    successor.as_deref().unwrap_or("any member")
                );
                let accepted = self.duty_control.submit(DutyCommand::HandOver { duty, to: successor });
                if accepted { "YES\n".to_owned() } else { "NO there is no fleet\n".to_owned() }
            }
            Call::Standby => {
                let stage = apply(Event::Standby);
                format!("YES {stage}\n")
            }
            Call::Active => {
                let stage = apply(Event::Active);
                format!("{} {stage}\n", if stage.is_shutting_down() { "NO" } else { "YES" })
            }
        }
    }
}
