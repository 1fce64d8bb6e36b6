//! Shuts down the socket of an order when the lease expires, even if the process was suspended at
//! that time.
//!
//! Checking the lease before a write leaves a race: the process can be suspended between the check
//! and the write, and write after it resumes, when the next lease holder already sends orders. To
//! prevent this, a kernel timer on `CLOCK_BOOTTIME` sends a signal to the thread that sends the
//! order. The signal is delivered before the thread executes another user-space instruction, and
//! its handler shuts down the socket, so the write that follows fails. Only the guarded socket is
//! shut down; connections of clients are not affected.

use std::io;
use std::mem;
use std::net;
use std::os::fd::AsRawFd as _;
use std::ptr;
use std::sync;
use std::sync::atomic;

use base::clock;

/// Value of [`GUARDED_FD`] while no socket is guarded.
const NO_FD: i32 = -1;

/// File descriptor of the guarded socket, read by the signal handler.
static GUARDED_FD: atomic::AtomicI32 = atomic::AtomicI32::new(NO_FD);
/// Whether the deadline has passed. Set by the signal handler, cleared when a guard is armed.
static EXPIRED: atomic::AtomicBool = atomic::AtomicBool::new(false);
/// Held by the armed guard, since only one guard at a time is possible in a process.
static GUARD_LOCK: sync::Mutex<()> = sync::Mutex::new(());
/// Ensures that the signal handler is installed once in a process.
static HANDLER: sync::Once = sync::Once::new();

/// Signal handler that shuts down the guarded socket.
extern "C" fn on_expiry(_: libc::c_int) {
    EXPIRED.store(true, atomic::Ordering::SeqCst);
    let fd = GUARDED_FD.load(atomic::Ordering::SeqCst);
    if fd == NO_FD {
        return;
    }
    // SAFETY: `shutdown` is async-signal-safe, and `errno` is restored for the interrupted code.
    // `fd` is a duplicate owned by the guard, and is open as long as `GUARDED_FD` holds it.
    unsafe {
        let errno = *libc::__errno_location();
        libc::shutdown(fd, libc::SHUT_RDWR);
        *libc::__errno_location() = errno;
    }
}

/// Returns the real-time signal that the timer sends.
fn expiry_signal() -> libc::c_int {
    libc::SIGRTMIN() + 3
}

fn install_handler() {
    // SAFETY: `action` is fully initialised, and the handler only calls async-signal-safe
    // functions.
    unsafe {
        let mut action: libc::sigaction = mem::zeroed();
        action.sa_sigaction = on_expiry as *const () as usize;
        action.sa_flags = libc::SA_RESTART;
        libc::sigemptyset(&mut action.sa_mask);
        libc::sigaction(expiry_signal(), &action, ptr::null_mut());
    }
}

/// A timer that shuts down a socket at a deadline. It must stay on the thread that armed it,
/// because the signal is sent to that thread.
#[derive(Debug)]
pub struct DeadlineGuard {
    timer: libc::timer_t,
    socket: Option<net::TcpStream>,
    _lock: sync::MutexGuard<'static, ()>,
}

impl DeadlineGuard {
    /// Arms a guard that expires at `deadline` on the system clock. Blocks while another guard is
    /// armed.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel can't create or start the timer.
    pub fn arm(deadline: clock::Millis) -> io::Result<Self> {
        HANDLER.call_once(install_handler);
        let lock = GUARD_LOCK
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        EXPIRED.store(false, atomic::Ordering::SeqCst);
        let timer = create_timer()?;
        let guard = Self {
            timer,
            socket: None,
            _lock: lock,
        };
        set_timer(timer, deadline)?;
        Ok(guard)
    }

    /// Sets the socket to shut down at the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline has passed or the socket can't be duplicated.
    pub fn set_socket(&mut self, socket: &net::TcpStream) -> io::Result<()> {
        let socket = socket.try_clone()?;
        GUARDED_FD.store(socket.as_raw_fd(), atomic::Ordering::SeqCst);
        self.socket = Some(socket);
        if self.is_expired() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        EXPIRED.load(atomic::Ordering::SeqCst)
    }
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        // SAFETY: `timer` was created by `create_timer` and is deleted only here.
        unsafe {
            libc::timer_delete(self.timer);
        }
        GUARDED_FD.store(NO_FD, atomic::Ordering::SeqCst);
    }
}

/// Creates a timer whose signal goes to the calling thread.
fn create_timer() -> io::Result<libc::timer_t> {
    // SAFETY: `event` and `timer` are valid for the call, and `gettid` has no preconditions.
    unsafe {
        let mut event: libc::sigevent = mem::zeroed();
        event.sigev_notify = libc::SIGEV_THREAD_ID;
        event.sigev_signo = expiry_signal();
        event.sigev_notify_thread_id = libc::gettid();
        let mut timer: libc::timer_t = ptr::null_mut();
        if libc::timer_create(libc::CLOCK_BOOTTIME, &mut event, &mut timer) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(timer)
    }
}

/// Starts `timer` so that it expires once, at `deadline`.
fn set_timer(timer: libc::timer_t, deadline: clock::Millis) -> io::Result<()> {
    let expiry = libc::timespec {
        tv_sec: (deadline.0 / 1000) as libc::time_t,
        tv_nsec: ((deadline.0 % 1000) * 1_000_000) as libc::c_long,
    };
    // SAFETY: `spec` is initialised, and `timer` is an existing timer of this process.
    unsafe {
        let mut spec: libc::itimerspec = mem::zeroed();
        spec.it_value = expiry;
        if libc::timer_settime(timer, libc::TIMER_ABSTIME, &spec, ptr::null_mut()) != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    Ok(())
}
