//! Tests of `resident_memory.rs`.

use super::*;

#[test]
fn figures_are_read_from_the_status_of_a_process() {
    let status = "Name:\tx\nVmHWM:\t    9216 kB\nVmRSS:\t    8192 kB\nRssFile:\t    2048 kB\n";
    let expected = ResidentMemory { current: 8 << 20, peak: 9 << 20, files: 2 << 20 };
    assert_eq!(ResidentMemory::parse(status), Some(expected));
    assert_eq!(ResidentMemory::parse("VmRSS:\t8192 kB\n"), None);
    assert!(ResidentMemory::read().is_some_and(|memory| memory.current > 0 && memory.peak > 0));
}

#[test]
fn meter_follows_memory_that_is_written() {
    const BYTES: usize = 64 << 20;
    let meter = ResidentMeter::open().unwrap();
    let before = meter.read().unwrap();
    let written = vec![1_u8; BYTES];
    let with = meter.read().unwrap();
    assert!(with >= before + BYTES / 2, "{before} and {with} bytes");
    assert_eq!(written.len(), BYTES);
}
