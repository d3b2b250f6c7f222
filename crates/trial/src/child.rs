//! The processes that a trial starts. Each sets a parent-death signal before it executes its program, so that the
//! kernel kills it when the rig terminates for any reason. Only these processes are ever signalled, by their ids.

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, getppid, kill_process, set_parent_process_death_signal};
use std::convert::Infallible;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, ChildStderr, ChildStdin, ChildStdout, Command};

/// Replaces this process by another program that is killed when the parent terminates. The child does this itself,
/// since the standard library lets a parent do it only in unsafe code.
///
/// # Errors
///
/// The parent has terminated already, or the program can't be executed.
pub fn tether(parent: u32, program: &[OsString]) -> Result<Infallible> {
    set_parent_process_death_signal(Some(Signal::KILL)).context("can't set the parent-death signal")?;
    if getppid().is_none_or(|id| id.as_raw_nonzero().get() as u32 != parent) {
        bail!("the parent has terminated");
    }
    let [program, arguments @ ..] = program else { bail!("no program to execute") };
    let error = std::process::Command::new(program).args(arguments).exec();
    Err(error).with_context(|| program.to_string_lossy().into_owned())
}

/// A child process, killed when this is dropped.
pub struct Process {
    child: Child,
    id: Pid,
}

impl Process {
    /// Starts a program. Variables `EDGE_…` of the rig's own environment are removed.
    ///
    /// # Errors
    ///
    /// The process can't be started.
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

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.id.as_raw_nonzero().get() as u32
    }

    /// The standard streams; they can be taken once.
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

    /// Sends a signal; does nothing where the process has terminated.
    pub fn signal(&self, signal: Signal) {
        // The id is not reused until the process is waited for, which only `child` does.
        if self.child.id().is_some() {
            let _ = kill_process(self.id, signal);
        }
    }

    /// Waits until the process terminates.
    ///
    /// # Errors
    ///
    /// Waiting for the process failed.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}
