# Sets BY_VERSION: the project's version and, where the source is a checkout, its revision. Logs name it, since a
# record of a failure must tell which code wrote it.
set(BY_VERSION ${PROJECT_VERSION})
find_package(Git QUIET)
if(Git_FOUND)
  execute_process(COMMAND ${GIT_EXECUTABLE} describe --always --dirty --abbrev=12 --exclude=*
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR} OUTPUT_VARIABLE REVISION ERROR_QUIET
    RESULT_VARIABLE RESULT OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(RESULT EQUAL 0)
    string(APPEND BY_VERSION "+${REVISION}")
  endif()
endif()
