//! The operators' console: a listener on a thread of its own, so that nothing that the serving thread does delays an
//! answer. It reads the figures and the stage, and gives orders by the lifecycle's handle; it knows no HTTP.

#![forbid(unsafe_code)]

mod line;

use anyhow::{Context, Result};
use dunlincleat_status::duty_control::{DutyCommand, DutyControl};
use dunlincleat_status::lifecycle::Event;
use dunlincleat_status::{Lifecycle, LogLimiter, Metrics, log_limited};
use line::{Call, Heard, hear};
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

/// Connections at a time; at the bound the oldest that has sent no whole call goes.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a call may take to come: shorter than callers stay that send nothing.
const CALL: Duration = Duration::from_secs(3);
/// How long an answer may take to be read, and what is sent behind a call to be passed over.
const ANSWER: Duration = Duration::from_secs(1);
const BEHIND: Duration = Duration::from_millis(200);

/// Opens the console's listener.
///
/// # Errors
///
/// The address can't be listened on.
pub fn bind(at: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(at).with_context(|| format!("'{at}' can't be listened on"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves calls on a thread of its own, until the process ends.
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
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the console")?;
    let serve = move || {
        let console = Rc::new(Console { lifecycle, metrics, duty_control, wrong: LogLimiter::default() });
        if let Err(error) = LocalSet::new().block_on(&runtime, serve(listener, console)) {
            tracing::error!("the console ended: {error:#}");
        }
    };
    std::thread::Builder::new().name("console".to_owned()).spawn(serve).context("the console's thread")?;
    Ok(())
}

struct Console {
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<Metrics>,
    duty_control: Arc<DutyControl>,
    /// The line of the log for wrong calls.
    wrong: LogLimiter,
}

/// A connection: whether its call has come, and what ends it.
struct Caller {
    called: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn serve(listener: TcpListener, console: Rc<Console>) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::error!("console: no connection accepted: {error}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() >= MAX_CONNECTIONS {
            let silent = callers.iter().position(|caller| !caller.called.get());
            if let Some(caller) = callers.remove(silent.unwrap_or(0)) {
                caller.task.abort();
            }
        }
        let called = Rc::new(Cell::new(false));
        let (console, heard) = (console.clone(), called.clone());
        let task = spawn_local(async move {
            if let Err(error) = call(stream, &console, &heard).await {
                tracing::debug!("console: {error}");
            }
        });
        callers.push_back(Caller { called, task: task.abort_handle() });
    }
}

/// One call and its answer.
async fn call(mut stream: TcpStream, console: &Console, called: &Cell<bool>) -> std::io::Result<()> {
    let heard =
        timeout(CALL, read(&mut stream)).await.unwrap_or(Ok(Heard::Wrong("the call did not end in time")))?;
    called.set(true);
    let answer = match heard {
        Heard::Call(call) => console.answer(call),
        Heard::Partial => return Ok(()),
        Heard::Wrong(why) => {
            let line = format!("console: {why}");
            log_limited!(console.wrong, info, line);
            format!("NO {why}\n")
        }
    };
    let _ = timeout(ANSWER, async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    })
    .await;
    // What was sent behind the call and not read would have the system take the answer back.
    let _ = timeout(BEHIND, async {
        while stream.read(&mut [0; 512]).await? > 0 {}
        std::io::Result::Ok(())
    })
    .await;
    Ok(())
}

/// Reads until a call is whole or wrong; partial where the caller left before that.
async fn read(stream: &mut TcpStream) -> std::io::Result<Heard> {
    let (mut bytes, mut len) = ([0; line::MOST], 0);
    loop {
        let come = stream.read(&mut bytes[len..]).await?;
        len += come;
        let heard = hear(&bytes[..len]);
        if come == 0 && heard == Heard::Partial && len > 0 {
            return Ok(Heard::Wrong("the call has no line end"));
        }
        if come == 0 || heard != Heard::Partial {
            return Ok(heard);
        }
    }
}

impl Console {
    fn answer(&self, call: Call) -> String {
        let order = |event: Event| {
            tracing::info!("console: told {}", if event == Event::Active { "active" } else { "standby" });
            self.lifecycle.apply(event)
        };
        match call {
            Call::Status => {
                let stage = self.lifecycle.stage();
                format!("{} {stage}\n", if stage.is_ready() { "YES" } else { "NO" })
            }
            Call::Stats => self.metrics.render() + "END\n",
            Call::Duties => self.duty_control.status() + "\nEND\n",
            Call::Hand(duty, to) => {
                tracing::info!(
                    "console: told to hand {duty} to {}",
                    to.as_deref().unwrap_or("whoever comes")
                );
                let taken = self.duty_control.submit(DutyCommand::HandOver { duty, to });
                if taken { "YES\n".to_owned() } else { "NO there is no fleet\n".to_owned() }
            }
            Call::Standby => {
                let stage = order(Event::Standby);
                format!("YES {stage}\n")
            }
            Call::Active => {
                let stage = order(Event::Active);
                format!("{} {stage}\n", if stage.is_shutting_down() { "NO" } else { "YES" })
            }
        }
    }
}
