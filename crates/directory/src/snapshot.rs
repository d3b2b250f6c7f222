//! Encoding of the current list for storage, so that a restarted sidecar can begin without discovery. No I/O: the
//! caller replaces the file atomically. The file has a header line with format, version and checksum, followed by one
//! line of JSON.

use crate::entry::Listing;
use crate::interest::Interest;
use anyhow::{Context, Result, bail};
use dunlincleat::api::{Span, Time};

const FORMAT: &str = "dunlincleat-list";
/// Format version of a list of all servers.
const VERSION_ALL_SERVERS: &str = "1";
/// Format version of a list restricted to some services: a program without support for services must not read it as
/// the list of all servers.
const VERSION_SOME_SERVICES: &str = "2";

/// A list and the time up to which it is known to be complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Unix time in microseconds up to which the list includes everything that discovery announced.
    pub fresh_at: Time,
    /// The full list.
    pub listing: Listing,
    /// The services that the list is restricted to.
    pub interest: Interest,
}

impl Snapshot {
    /// Encodes the snapshot as the content of a file.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut body = serde_json::json!({"fresh_at_us": self.fresh_at.0, "list": self.listing.to_value()});
        let services: Option<Vec<&str>> = self.interest.services().map(Iterator::collect);
        let version = if services.is_some() { VERSION_SOME_SERVICES } else { VERSION_ALL_SERVERS };
        if let Some(services) = services {
            body["services"] = services.into();
        }
        let body = body.to_string();
        let checksum = crc32fast::hash(body.as_bytes());
        format!("{FORMAT} {version} {checksum:08x}\n{body}\n").into_bytes()
    }

    /// Decodes the content of a file.
    ///
    /// # Errors
    ///
    /// Unknown format or version, truncation, a wrong checksum or an invalid list. The caller then starts without it.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot> {
        let text = std::str::from_utf8(bytes).context("it is not UTF-8")?;
        let (header, body) = text.split_once('\n').context("it has no header line")?;
        let mut header = header.split(' ');
        if header.next() != Some(FORMAT) {
            bail!("it is no list of servers (the first word is not {FORMAT})");
        }
        let version = header.next().unwrap_or_default();
        if ![VERSION_ALL_SERVERS, VERSION_SOME_SERVICES].contains(&version) {
            bail!(
                "it is of version '{version}', this program reads versions {VERSION_ALL_SERVERS} and \
                 {VERSION_SOME_SERVICES}"
            );
        }
        let body = body.strip_suffix('\n').context("it was cut off")?;
        let checksum = format!("{:08x}", crc32fast::hash(body.as_bytes()));
        if header.next() != Some(&checksum) {
            bail!("its checksum does not fit: the file is damaged");
        }
        let mut body: serde_json::Value = serde_json::from_str(body)?;
        let fresh_at = Time(body["fresh_at_us"].as_u64().context("fresh_at_us is not a number")?);
        let interest = match body["services"].take() {
            serde_json::Value::Null => Interest::default(),
            services => Interest::of(serde_json::from_value::<Vec<String>>(services).context("services")?),
        };
        Ok(Snapshot { fresh_at, listing: Listing::from_value(body["list"].take())?, interest })
    }

    /// The age of the list; zero if its time is in the future, as after the clock was set back.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        now - self.fresh_at
    }
}
