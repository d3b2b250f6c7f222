//! The log: one line a message on standard error, `time level part: message`, or one JSON object a line.

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

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// `seconds.millis LEVEL part: text`.
    #[default]
    Text,
    /// One JSON object: `time`, `level`, `part`, `text`.
    Json,
}

/// Which lines are written. What other crates log comes through at warn and above; what actix-http says of each
/// client that sends what can't be read never does, the front tells of those once a second.
struct Levels(LevelFilter);

impl Levels {
    fn lets(&self, meta: &Metadata<'_>) -> bool {
        let ours = meta.target().starts_with("dunlincleat");
        let others = *meta.level() <= tracing::Level::WARN && !meta.target().starts_with("actix_http");
        (ours || others) && *meta.level() <= self.0
    }
}

impl<S> Filter<S> for Levels {
    fn enabled(&self, meta: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        self.lets(meta)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.0)
    }
}

static LEVELS: OnceLock<Handle<Levels, Registry>> = OnceLock::new();

/// Starts logging of lines of this level and above.
pub fn start(level: LevelFilter, form: Form) {
    let (levels, handle) = reload::Layer::new(Levels(level));
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).event_format(Line(form));
    let subscriber = Registry::default().with(lines.with_filter(levels));
    // Fails only where a log is set already, and then there is one.
    if tracing::subscriber::set_global_default(subscriber).is_ok() {
        let _ = LEVELS.set(handle);
    }
}

/// Changes the least level that is written.
pub fn set_level(level: LevelFilter) {
    if let Some(handle) = LEVELS.get() {
        // Fails only where the subscriber is gone, with the process.
        let _ = handle.reload(Levels(level));
    }
}

struct Line(Form);

impl<S, N> FormatEvent<S, N> for Line
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
            // Where the decisions are carried out; the name that the on-call page knows.
            "shell" => "module",
            part => part,
        };
        let mut text = String::new();
        ctx.format_fields(Writer::new(&mut text), event)?;
        match self.0 {
            Form::Text => {
                let (secs, ms) = (now.as_secs(), now.subsec_millis());
                writeln!(writer, "{secs}.{ms:03} {} {part}: {text}", meta.level())
            }
            Form::Json => {
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
