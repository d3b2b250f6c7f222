//! What is under test behind one face: it is told what happened and says what it wants done.

use dunlincleat::api::Time;
use dunlincleat_engine::{Engine, Input, Output};

/// What a request carries: its number; the answer carries it back.
pub type In = Input<u64, u64>;
/// What is wanted.
pub type Out = Output<u64, u64>;

/// One instance's balancing.
pub trait Balancing {
    /// Takes what happened.
    fn input(&mut self, now: Time, input: In, out: &mut Vec<Out>);
    /// Does what is due.
    fn wake(&mut self, now: Time, out: &mut Vec<Out>);
    /// When that is, if ever.
    fn due(&self) -> Option<Time>;
}

impl Balancing for Engine<u64, u64> {
    fn input(&mut self, now: Time, input: In, out: &mut Vec<Out>) {
        Engine::input(self, now, input, out);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<Out>) {
        Engine::wake(self, now, out);
    }

    fn due(&self) -> Option<Time> {
        Engine::due(self)
    }
}
