//! The allocator of the process. It gives freed pages back to the system at once (see `.cargo/config.toml`): the memory
//! limit counts resident pages, and the system's allocator keeps those of freed blocks that lie between others.

use tikv_jemallocator::Jemalloc;

#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;
