// Holds the current certificate material for handshakes and periodically checks its files for changes. The
// files are read on a separate thread, so that a slow disk does not block the event loop.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "tls/material.h"

namespace flintglade::tls {

class CertificateProvider {
 public:
  CertificateProvider(boost::asio::io_context& io, std::string name);  // the name is used in the log
  ~CertificateProvider();
  // Blocks on the disk: for the start and for SIGHUP. Returns an empty string or the error.
  static std::string read(const Files& files, Material& out);
  // Makes the material current. The files that it was read from are checked every check_interval_s seconds
  // from now on; 0: never.
  void use(const Files& files, double check_interval_s, Material material);
  // The callback runs on the event loop.
  void on_change(std::function<void()> callback) { on_change_ = std::move(callback); }

  // These two may be called on any thread. The generation changes with the material.
  Material current() const;
  std::uint64_t generation() const { return generation_; }
  struct Counters {
    std::uint64_t taken = 0, refused = 0;
  };
  const Counters& counters() const { return counters_; }
  std::int64_t expires_in_s() const;  // of the certificate; 0 if there is none or it has expired

 private:
  void schedule_check();
  void on_files_read(const Files& files, const std::string& error, Material fresh);
  void set_current(Material fresh);

  boost::asio::io_context& io_;
  std::string name_;
  boost::asio::steady_timer timer_;
  boost::asio::thread_pool disk_thread_{1};
  // False once this object is destroyed; checked by posted handlers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Files files_;
  double check_interval_s_ = 0.0;
  std::string last_error_;  // of the last check: an error is reported once, when two checks in a row had it
  bool error_reported_ = false;
  std::function<void()> on_change_;
  Counters counters_;
  mutable std::mutex mutex_;
  Material current_;  // guarded by mutex_
  std::atomic<std::uint64_t> generation_ = 0;
};

}  // namespace flintglade::tls
