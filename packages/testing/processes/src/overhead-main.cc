// Program: what one entry host adds to calling a backend server directly.
// Prints latencies of both ways, taken in turns in one run, and the requests
// per second of processor time of the entry host under load.
#include "jasminecroft/processes/local_fleet.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace jasminecroft::processes;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::size_t Rounds = 20;
constexpr std::size_t CallsPerRound = 100;
constexpr std::size_t LoadClients = 32;
constexpr std::size_t CallsPerClient = 4'000;
constexpr std::chrono::seconds ReplyBound{30};
constexpr std::chrono::seconds IdleTime{10};
const std::string Body = R"({"part":"r-12","question":"does it fit?"})";

struct way {
  std::string Name;
  std::uint16_t Port = 0;
  std::string Text;
  /// Kept for the whole run, so that no call pays for its making.
  std::unique_ptr<http_connection> Connection;
  std::vector<double> Microseconds;
};

std::string directText(std::uint16_t Port) {
  return requestText({Port, "POST", "/v1/run",
                      "X-Attempt: direct\r\nX-Stage: check\r\n"
                      "X-Workspace: w\r\nX-Pipeline: part-check\r\n",
                      Body});
}

std::string entryText(std::uint16_t Port) {
  return requestText(
      {Port, "POST", "/v1/workspaces/w/pipelines/part-check", "", Body});
}

bool measureRound(way &Way) {
  if (!Way.Connection)
    Way.Connection = std::make_unique<http_connection>(Way.Port);
  const http_connection &Connection = *Way.Connection;
  for (std::size_t I = 0; I < CallsPerRound; ++I) {
    clock_type::time_point Began = clock_type::now();
    if (!Connection.connected() || !Connection.send(Way.Text))
      return false;
    if (Connection.readReply(ReplyBound).Status != 200)
      return false;
    std::chrono::duration<double, std::micro> Time = clock_type::now() - Began;
    Way.Microseconds.push_back(Time.count());
  }
  return true;
}

double quantile(std::vector<double> Values, double Probability) {
  std::sort(Values.begin(), Values.end());
  double Position = Probability * static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Position)];
}

// User and system time of a process, in seconds.
double processorSeconds(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t runClient(std::uint16_t Port, const std::string &Text) {
  std::size_t Complete = 0;
  http_connection Connection(Port);
  for (std::size_t I = 0; I < CallsPerClient; ++I) {
    if (!Connection.connected() || !Connection.send(Text))
      break;
    Complete += Connection.readReply(ReplyBound).Status == 200 ? 1 : 0;
  }
  return Complete;
}

void measureLoad(local_fleet &Fleet) {
  std::uint16_t Port = Fleet.callerPort(0);
  std::string Text = entryText(Port);
  pid_t Pid = Fleet.entryHost(0).pid();
  double Before = processorSeconds(Pid);
  clock_type::time_point Began = clock_type::now();
  std::vector<std::size_t> Complete(LoadClients);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < LoadClients; ++I)
    Threads.emplace_back(
        [&Complete, &Text, Port, I] { Complete[I] = runClient(Port, Text); });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::chrono::duration<double> Elapsed = clock_type::now() - Began;
  double Used = processorSeconds(Pid) - Before;
  std::size_t Sum = 0;
  for (std::size_t Count : Complete)
    Sum += Count;
  double Requests = static_cast<double>(Sum);
  std::cout << "load: " << Sum << " of " << LoadClients * CallsPerClient
            << " complete in " << Elapsed.count() << " s, "
            << Requests / Elapsed.count() << " requests/s; entry host used "
            << Used << " s of processor time: " << Requests / Used
            << " requests/s per core\n";
}

std::uint64_t residentKilobytes(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  std::uint64_t Kilobytes = 0;
  while (File >> Word)
    if (Word == "VmRSS:")
      File >> Kilobytes;
  return Kilobytes;
}

double metric(const std::string &Page, const std::string &Name) {
  std::size_t Found = Page.find("\n" + Name + " ");
  if (Found == std::string::npos)
    return 0;
  return std::stod(Page.substr(Found + Name.size() + 2));
}

// What each of a few hosts spends while nobody calls.
void measureIdle() {
  fleet_options Options;
  Options.Backends = 8;
  local_fleet Fleet(Options);
  if (!Fleet.waitAllReady())
    return;
  std::this_thread::sleep_for(IdleTime);
  pid_t Pid = Fleet.entryHost(0).pid();
  double CpuBefore = processorSeconds(Pid);
  std::string PageBefore = Fleet.page(0, "/metrics");
  std::this_thread::sleep_for(IdleTime);
  double Used = processorSeconds(Pid) - CpuBefore;
  std::string PageAfter = Fleet.page(0, "/metrics");
  const std::string Bytes = "jasminecroft_peer_bytes_sent_total";
  double Seconds = static_cast<double>(IdleTime.count());
  std::cout << "idle, " << Options.EntryHosts << " entry hosts and "
            << Options.Backends << " backend servers: " << 100 * Used / Seconds
            << " % of a core, " << residentKilobytes(Pid) << " KB resident, "
            << (metric(PageAfter, Bytes) - metric(PageBefore, Bytes)) / Seconds
            << " bytes/s sent to peers\n";
}

void print(const way &Way) {
  std::cout << Way.Name << ": " << Way.Microseconds.size() << " calls, p50 "
            << quantile(Way.Microseconds, 0.5) << " us, p99 "
            << quantile(Way.Microseconds, 0.99) << " us\n";
}

} // namespace

int main() {
  fleet_options Options;
  Options.EntryHosts = 1;
  Options.Backends = 8;
  Options.BaseUs = 200;
  local_fleet Fleet(Options);
  if (!Fleet.waitAllReady())
    return 1;
  std::uint16_t Backend = Fleet.backendPort(0);
  std::uint16_t Entry = Fleet.callerPort(0);
  way Direct{"direct", Backend, directText(Backend), nullptr, {}};
  way Through{"through one entry host", Entry, entryText(Entry), nullptr, {}};
  for (std::size_t I = 0; I < Rounds; ++I)
    if (!measureRound(Direct) || !measureRound(Through))
      return 1;
  print(Direct);
  print(Through);
  measureLoad(Fleet);
  measureIdle();
  return 0;
}
