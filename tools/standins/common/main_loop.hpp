#pragma once

#include <glib.h>

#include <chrono>
#include <utility>

namespace hornbeamgate::standins {

/// Runs the default GLib main loop until SIGTERM or SIGINT arrives.
void runMainLoop();

/// Calls `action` once on the main loop after `delay`. `action` may own what it needs.
template <typename Action>
void runAfter(std::chrono::milliseconds delay, Action action)
{
    auto invoke = [](gpointer data) -> gboolean {
        (*static_cast<Action*>(data))();
        return G_SOURCE_REMOVE;
    };
    auto release = [](gpointer data) { delete static_cast<Action*>(data); };
    g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()), invoke,
        new Action(std::move(action)), release);
}

/// Calls `action` every `interval` for as long as the process runs.
template <typename Action>
void runEvery(std::chrono::milliseconds interval, Action action)
{
    auto invoke = [](gpointer data) -> gboolean {
        (*static_cast<Action*>(data))();
        return G_SOURCE_CONTINUE;
    };
    auto release = [](gpointer data) { delete static_cast<Action*>(data); };
    g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(interval.count()), invoke,
        new Action(std::move(action)), release);
}

} // namespace hornbeamgate::standins
