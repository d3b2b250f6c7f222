//! Logging to standard error: one line per message, `time level part: message`, or one JSON object per line.

use std::fmt;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::{Layer, Registry};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `seconds.millis LEVEL part: text`.
    #[default]
    Text,
    /// One JSON object: `time`, `level`, `part`, `text`.
    Json,
}

/// Selects the lines to be written. Lines of other crates pass at warn and above. Those of actix-http never do: it logs
/// each malformed request, and the HTTP front already reports these once per second.
struct LevelFilterByTarget(LevelFilter);

impl LevelFilterByTarget {
    fn permits(&self, meta: &Metadata<'_>) -> bool {
        let own_target = meta.target().starts_with("dunlincleat");
        let foreign_target =
            *meta.level() <= tracing::Level::WARN && !meta.target().starts_with("actix_http");
        (own_target || foreign_target) && *meta.level() <= self.0
    }
}

impl<S> Filter<S> for LevelFilterByTarget {
    fn enabled(&self, meta: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        self.permits(meta)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.0)
    }
}

static FILTER_HANDLE: OnceLock<Handle<LevelFilterByTarget, Registry>> = OnceLock::new();

/// Starts logging at this level and above.
pub fn start(level: LevelFilter, format: LogFormat) {
    let (filter, handle) = reload::Layer::new(LevelFilterByTarget(level));
    let lines =
        tracing_subscriber::fmt::layer().with_writer(std::io::stderr).event_format(LineFormatter(format));
    let subscriber = Registry::default().with(lines.with_filter(filter));
    // Fails only if a subscriber is installed already, which then does the logging.
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        let _ = FILTER_HANDLE.set(handle);
        log_panics();
    }
}

/// Adds a log line to the usual report of a panic, which has neither time nor level.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        let thread = std::thread::current();
        let description = panic.to_string().replace('\n', " ");
        tracing::error!("thread {} {description}", thread.name().unwrap_or("without a name"));
    }));
}

/// Changes the minimum level.
pub fn set_level(level: LevelFilter) {
    if let Some(handle) = FILTER_HANDLE.get() {
        // Fails only if the subscriber is gone, while the process exits.
        let _ = handle.reload(LevelFilterByTarget(level));
    }
}

struct LineFormatter(LogFormat);

impl<S, N> FormatEvent<S, N> for LineFormatter
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let meta = event.metadata();
        let part = match meta.target().rsplit("::").next().unwrap_or_default() {
            "dunlincleat_sidecar" | "dunlincleat" => "main",
            // The engine's driver runs the decision module; the on-call documentation calls this part "module".
            "shell" => "module",
            part => part,
        };
        let mut text = String::new();
        ctx.format_fields(Writer::new(&mut text), event)?;
        match self.0 {
            LogFormat::Text => {
                let (secs, ms) = (now.as_secs(), now.subsec_millis());
                writeln!(writer, "{secs}.{ms:03} {} {part}: {text}", meta.level())
            }
            LogFormat::Json => {
                let time = now.as_millis() as f64 / 1e3;
                let level = meta.level().as_str();
                writeln!(
                    writer,
                    "{}",
                    serde_json::json!({"time": time, "level": level, "part": part, "text": text})
                )
            }
        }
    }
}
