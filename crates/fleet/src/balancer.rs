//! What is under test behind one face: it is told what happened and says what it wants done.

use dunlincleat::api::Time;
use dunlincleat_engine::{Engine, Input, Output};

/// What a request carries: its number; the answer carries it back.
pub type EngineInput = Input<u64, u64>;
/// What is wanted.
pub type EngineOutput = Output<u64, u64>;

/// One instance's balancing.
pub trait Balancer {
    /// Takes what happened.
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>);
    /// Does what is due.
    fn wake(&mut self, now: Time, out: &mut Vec<EngineOutput>);
    /// When that is, if ever.
    fn due(&self) -> Option<Time>;
}

impl Balancer for Engine<u64, u64> {
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>) {
        Engine::input(self, now, input, out);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<EngineOutput>) {
        Engine::wake(self, now, out);
    }

    fn due(&self) -> Option<Time> {
        Engine::due(self)
    }
}
