# Compiles through ccache where it is installed, so that work trees share objects.
find_program(ccache_program ccache)
if(ccache_program)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      ${ccache_program})
endif()
