//! HTTP/1.1 around the engine. [`front`] accepts requests from applications (actix-http), [`peer`] is the transport
//! to a server (awc), with one actor per server, and [`list`] calls discovery. [`message`] decodes and encodes all
//! messages in one place.
//!
//! Dependencies go one way: front, peer and list use the engine's handle, and none of them depends on another.

#![forbid(unsafe_code)]

mod frame;
pub mod front;
mod idle;
mod line;
pub mod list;
pub mod message;
pub mod options;
pub mod peer;
mod upload_clock;
mod write_progress;

use std::rc::Rc;

/// The engine's handle, for requests and responses of HTTP.
pub type Handle = dunlincleat_engine::shell::Handle<Rc<message::Request>, message::ResponseBody>;
/// The engine's mailbox, for requests and responses of HTTP.
pub type Mailbox = dunlincleat_engine::shell::Mailbox<Rc<message::Request>, message::ResponseBody>;
/// The engine, for requests and responses of HTTP.
pub type Engine = dunlincleat_engine::Engine<Rc<message::Request>, message::ResponseBody>;
type Answer = dunlincleat_engine::Answer<message::ResponseBody>;
type Completion = dunlincleat_engine::Completion<message::ResponseBody>;
