//! Shuts an order's socket at the end of a lease, also when the process was frozen across it.
//!
//! A check of the lease before a write leaves a gap: the process can be frozen between the check
//! and the write, and write after it wakes, when its successor already sends orders. Here a
//! kernel timer on `CLOCK_BOOTTIME` is directed at the ordering thread. Its signal is delivered
//! before the thread executes another user instruction, and the handler shuts the socket, so the
//! write that follows fails. Only the armed socket is shut; callers' streams go on.

use std::io;
use std::mem;
use std::net;
use std::os::fd::AsRawFd as _;
use std::ptr;
use std::sync;
use std::sync::atomic;

use base::clock;

const NO_SOCKET: i32 = -1;

/// The armed socket, read by the signal handler.
static SOCKET: atomic::AtomicI32 = atomic::AtomicI32::new(NO_SOCKET);
/// Set by the signal handler; cleared when a guard is armed.
static EXPIRED: atomic::AtomicBool = atomic::AtomicBool::new(false);
/// One guard at a time in a process.
static ARMED: sync::Mutex<()> = sync::Mutex::new(());
static HANDLER: sync::Once = sync::Once::new();

extern "C" fn on_expiry(_: libc::c_int) {
    EXPIRED.store(true, atomic::Ordering::SeqCst);
    let fd = SOCKET.load(atomic::Ordering::SeqCst);
    if fd == NO_SOCKET {
        return;
    }
    // SAFETY: `shutdown` is async-signal-safe, and `errno` is restored for the interrupted code.
    // `fd` is the guard's own duplicate, open while `SOCKET` holds it.
    unsafe {
        let errno = *libc::__errno_location();
        libc::shutdown(fd, libc::SHUT_RDWR);
        *libc::__errno_location() = errno;
    }
}

fn signal() -> libc::c_int {
    libc::SIGRTMIN() + 3
}

fn install_handler() {
    // SAFETY: `action` is fully initialised, and the handler only calls async-signal-safe functions.
    unsafe {
        let mut action: libc::sigaction = mem::zeroed();
        action.sa_sigaction = on_expiry as *const () as usize;
        action.sa_flags = libc::SA_RESTART;
        libc::sigemptyset(&mut action.sa_mask);
        libc::sigaction(signal(), &action, ptr::null_mut());
    }
}

/// An armed timer of the calling thread. Not sent between threads: the signal goes to the thread
/// that armed it.
#[derive(Debug)]
pub struct Guard {
    timer: libc::timer_t,
    socket: Option<net::TcpStream>,
    _armed: sync::MutexGuard<'static, ()>,
}

impl Guard {
    /// Arms a guard that expires at `deadline` on the system clock.
    ///
    /// # Errors
    ///
    /// The kernel gave no timer.
    pub fn arm(deadline: clock::Millis) -> io::Result<Self> {
        HANDLER.call_once(install_handler);
        let armed = ARMED.lock().unwrap_or_else(sync::PoisonError::into_inner);
        EXPIRED.store(false, atomic::Ordering::SeqCst);
        let timer = create_timer()?;
        let guard = Self {
            timer,
            socket: None,
            _armed: armed,
        };
        set_timer(timer, deadline)?;
        Ok(guard)
    }

    /// Puts `socket` under the guard.
    ///
    /// # Errors
    ///
    /// The guard has expired, or the socket could not be duplicated.
    pub fn watch(&mut self, socket: &net::TcpStream) -> io::Result<()> {
        let socket = socket.try_clone()?;
        SOCKET.store(socket.as_raw_fd(), atomic::Ordering::SeqCst);
        self.socket = Some(socket);
        if self.expired() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Whether the deadline has passed.
    pub fn expired(&self) -> bool {
        EXPIRED.load(atomic::Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // SAFETY: `timer` was created by `create_timer` and is deleted once, here.
        unsafe {
            libc::timer_delete(self.timer);
        }
        SOCKET.store(NO_SOCKET, atomic::Ordering::SeqCst);
    }
}

fn create_timer() -> io::Result<libc::timer_t> {
    // SAFETY: `event` and `timer` are valid for the call, and `gettid` has no preconditions.
    unsafe {
        let mut event: libc::sigevent = mem::zeroed();
        event.sigev_notify = libc::SIGEV_THREAD_ID;
        event.sigev_signo = signal();
        event.sigev_notify_thread_id = libc::gettid();
        let mut timer: libc::timer_t = ptr::null_mut();
        if libc::timer_create(libc::CLOCK_BOOTTIME, &mut event, &mut timer) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(timer)
    }
}

fn set_timer(timer: libc::timer_t, deadline: clock::Millis) -> io::Result<()> {
    let at = libc::timespec {
        tv_sec: (deadline.0 / 1000) as libc::time_t,
        tv_nsec: ((deadline.0 % 1000) * 1_000_000) as libc::c_long,
    };
    // SAFETY: `spec` is initialised, and `timer` is a live timer of this process.
    unsafe {
        let mut spec: libc::itimerspec = mem::zeroed();
        spec.it_value = at;
        if libc::timer_settime(timer, libc::TIMER_ABSTIME, &spec, ptr::null_mut()) != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    Ok(())
}
