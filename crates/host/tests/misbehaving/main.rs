//! Clients that observe no limit, against both kinds of host. One test runs at a time; each checks that
//! the host lives, stays within the memory and the descriptors of its machine, and answers an ordinary
//! request afterwards, and nothing that depends on the speed of the machine.

#[path = "../../../../platform/tests/env/mod.rs"]
mod env;
#[path = "../../../../platform/tests/misbehaving/host.rs"]
mod platform_host;
#[path = "../env/mod.rs"]
mod product_env;
mod product_host;
mod rig;
