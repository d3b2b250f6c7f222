//! The processes that a trial starts. Each is tied to the rig before it becomes the program that it is for: the machine
//! ends it when the rig has gone, whatever ended that. Only these are ever signalled, by their ids.

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, getppid, kill_process, set_parent_process_death_signal};
use std::convert::Infallible;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, ChildStderr, ChildStdin, ChildStdout, Command};

/// Becomes another program that ends with the process that started this one. Done by the child itself, as the standard
/// library lets a parent do it only in unsafe code.
///
/// # Errors
///
/// The parent has gone already, or there is no such program.
pub fn tether(parent: u32, program: &[OsString]) -> Result<Infallible> {
    set_parent_process_death_signal(Some(Signal::KILL)).context("a tie to the rig")?;
    if getppid().is_none_or(|id| id.as_raw_nonzero().get() as u32 != parent) {
        bail!("the rig has gone");
    }
    let [program, arguments @ ..] = program else { bail!("no program to become") };
    let error = std::process::Command::new(program).args(arguments).exec();
    Err(error).with_context(|| program.to_string_lossy().into_owned())
}

/// A process of the rig, killed when this is dropped.
pub struct Process {
    child: Child,
    id: Pid,
}

impl Process {
    /// Starts a program of `lab`'s folder or elsewhere, with what `EDGE_…` says in the rig's own environment taken out.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start(
        lab: &Path,
        program: &Path,
        arguments: &[&str],
        environment: &[(&str, &Path)],
    ) -> Result<Process> {
        let mut command = Command::new(lab);
        command.arg("tether").arg(std::process::id().to_string()).arg("--").arg(program).args(arguments);
        for (name, _) in std::env::vars_os() {
            if name.to_string_lossy().starts_with("EDGE_") {
                command.env_remove(name);
            }
        }
        command.envs(environment.iter().copied());
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped()).kill_on_drop(true);
        let child = command.spawn().with_context(|| program.display().to_string())?;
        let id = child.id().and_then(|id| Pid::from_raw(id as i32)).context("a process without an id")?;
        Ok(Process { child, id })
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.id.as_raw_nonzero().get() as u32
    }

    /// Its standard streams, once.
    ///
    /// # Errors
    ///
    /// They were taken before.
    pub fn streams(&mut self) -> Result<(ChildStdin, ChildStdout, ChildStderr)> {
        let Child { stdin, stdout, stderr, .. } = &mut self.child;
        match (stdin.take(), stdout.take(), stderr.take()) {
            (Some(stdin), Some(stdout), Some(stderr)) => Ok((stdin, stdout, stderr)),
            _ => bail!("its streams were taken"),
        }
    }

    /// Signals it; one that has ended is left alone.
    pub fn signal(&self, signal: Signal) {
        // Its id is kept from others until it is waited for, which `child` alone does.
        if self.child.id().is_some() {
            let _ = kill_process(self.id, signal);
        }
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// The machine does not tell.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}
