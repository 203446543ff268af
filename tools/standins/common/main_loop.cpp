#include "common/main_loop.hpp"

#include <glib-unix.h>

#include <csignal>

namespace hornbeamgate::standins {

namespace {

    gboolean quit(gpointer loop)
    {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_CONTINUE;
    }

} // namespace

void runMainLoop()
{
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    const guint terminate = g_unix_signal_add(SIGTERM, quit, loop);
    const guint interrupt = g_unix_signal_add(SIGINT, quit, loop);
    g_main_loop_run(loop);
    g_source_remove(terminate);
    g_source_remove(interrupt);
    g_main_loop_unref(loop);
}

} // namespace hornbeamgate::standins
