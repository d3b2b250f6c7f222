//! Reports the memory of the process: as metrics, in a log line, and by a warning before the limit is reached.

use super::clients::Clients;
use super::memory::Account;
use dunlincleat_status::{LogLimiter, Metrics, ResidentMemory, log_limited};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between readings.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Number of readings between log lines.
const READINGS_PER_LOG_LINE: u32 = 10;

/// Reports until it is aborted.
pub(super) async fn report_memory(clients: Rc<Clients>, metrics: Arc<Metrics>) {
    let warning_threshold = clients.options.memory_limit_bytes / 4 * 3;
    let warning = LogLimiter::default();
    for reading in 1_u32.. {
        sleep(READ_INTERVAL).await;
        metrics.client_bytes.set(clients.memory.used());
        if reading % READINGS_PER_LOG_LINE == 0
            && let Some(line) = clients.ends.take_line()
        {
            tracing::info!("client connections ended: {line}");
        }
        let Some(memory) = ResidentMemory::read() else { continue };
        metrics.resident_bytes.set(memory.current);
        let line = memory_line(memory, &clients);
        if memory.current > warning_threshold {
            log_limited!(warning, warn, format!("over three quarters of the memory limit: {line}"));
        } else if reading % READINGS_PER_LOG_LINE == 0 && clients.count() > 0 {
            tracing::info!("{line}");
        }
    }
}

fn memory_line(memory: ResidentMemory, clients: &Clients) -> String {
    format!(
        "memory: {} KiB resident ({} KiB of files), {} KiB at the peak; {} KiB held for {} client connections, \
         {} of it of requests and {} of responses",
        memory.current >> 10,
        memory.files >> 10,
        memory.peak >> 10,
        clients.memory.used() >> 10,
        clients.count(),
        clients.memory.used_by(Account::Receiving) >> 10,
        clients.memory.used_by(Account::Responding) >> 10
    )
}
